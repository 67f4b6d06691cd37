"""Fair use of the threads of an entry by its clients."""

import collections
import threading

__all__ = ('Occupancy',)

# While fewer places than this share are taken, any client may take one.
_FREE_SHARE = 0.75


class Occupancy:
    """Counts the requests in progress of each client.

    Slow readers keep their threads for long. Without a bound, one client with
    many of them would take all, and the others could not even be refused.
    """

    def __init__(self, places: int) -> None:
        """Share ``places`` requests in progress."""
        self.places = places
        self.taken: collections.Counter[str] = collections.Counter()
        self.lock = threading.Lock()

    def begin(self, client: str) -> bool:
        """Take a place; return False if the client has its share of them.

        The share counts once three quarters of the places are taken: all
        places divided by the clients with requests in progress, this one
        included, and by two at least.
        """
        with self.lock:
            clients = len(self.taken) + (client not in self.taken)
            share = self.places / max(clients, 2)
            crowded = self.taken.total() >= self.places * _FREE_SHARE
            if crowded and self.taken[client] >= share:
                return False
            self.taken[client] += 1
            return True

    def end(self, client: str) -> None:
        """Give a place back."""
        with self.lock:
            self.taken[client] -= 1
            if not self.taken[client]:
                self.taken.pop(client)
