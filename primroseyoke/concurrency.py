"""Fair use of the threads of an entry by its clients."""

import collections
import threading

__all__ = ('ClientConcurrencyLimiter',)

# While fewer requests than this share are running, any client may take one.
_UNRESTRICTED_SHARE = 0.75


class ClientConcurrencyLimiter:
    """Counts the requests in progress of each client.

    Slow readers keep their threads for long. Without a bound, one client with
    many of them would take all, and the others could not even be refused.
    """

    def __init__(self, max_requests: int) -> None:
        """Share ``max_requests`` requests in progress."""
        self.max_requests = max_requests
        self.in_progress: collections.Counter[str] = collections.Counter()
        self.lock = threading.Lock()

    def acquire(self, client: str) -> bool:
        """Take a place; return False if the client has its share of them.

        The share counts once three quarters of the requests are running: all
        max_requests divided by the clients with requests in progress, this one
        included, and by two at least.
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
        """Give a place back."""
        with self.lock:
            self.in_progress[client] -= 1
            if not self.in_progress[client]:
                self.in_progress.pop(client)
