"""Per-client concurrency limit of an entry."""

import collections
import threading

__all__ = ('ClientConcurrencyLimiter',)

# Below this share of ``max_requests``, no client is limited.
_UNRESTRICTED_SHARE = 0.75


class ClientConcurrencyLimiter:
    """Limits the requests in progress of each client.

    Each request in progress occupies a thread, for long if its caller reads
    slowly. Without a limit, one client with many slow readers would occupy all
    threads, and requests of other clients could not even be refused.
    """

    def __init__(self, max_requests: int) -> None:
        """Share ``max_requests`` concurrent requests among clients."""
        self.max_requests = max_requests
        self.in_progress: collections.Counter[str] = collections.Counter()
        self.lock = threading.Lock()

    def acquire(self, client: str) -> bool:
        """Count a request as in progress; return False if it is over the limit.

        Once three quarters of ``max_requests`` are in progress, a client is
        limited to its fair share: ``max_requests`` divided by the number of
        clients with requests in progress, this one included, at least two.
        """
        with self.lock:
            clients = len(self.in_progress) + (client not in self.in_progress)
            share = self.max_requests / max(clients, 2)
            crowded = (
                self.in_progress.total()
                >= self.max_requests * _UNRESTRICTED_SHARE
            )
            if crowded and self.in_progress[client] >= share:
                return False
            self.in_progress[client] += 1
            return True

    def release(self, client: str) -> None:
        """Count a request of a client as ended."""
        with self.lock:
            self.in_progress[client] -= 1
            if not self.in_progress[client]:
                self.in_progress.pop(client)
