"""Sessions that write all the time, and the acknowledged commits that a promotion drops."""

import random
import threading
import time

from standins import Client


class Writers:
    """Each session writes single statements to an item of its own and notes what was acknowledged."""

    def __init__(self, site, count, length_s):
        self.site, self.end = site, time.monotonic() + length_s
        self.acknowledged = {}
        self.threads = [threading.Thread(target=self.write, args=(number,), daemon=True) for number in range(count)]
        for thread in self.threads:
            thread.start()

    def write(self, number):
        client, connection = None, number
        while time.monotonic() < self.end:
            try:
                if client is None:
                    connection += 1
                    client = Client(self.site.front(connection), "primary-db", self.site.record)
                identity = f"{random.getrandbits(64):016x}"
                answer, _ = client.query(f"WRITE item{number} {identity}", identity)
                if answer and answer[-1].startswith("COMPLETE ") and not answer[-1].endswith(" -"):
                    self.acknowledged[identity] = time.monotonic()
                time.sleep(0.01)
            except OSError:
                client = None
                time.sleep(0.05)

    def join(self):
        for thread in self.threads:
            thread.join()

    def lost(self):
        """The writes that were acknowledged before a backend was promoted whose log lacks them."""
        found = []
        for at, leader, cut in self.site.group.promotions:
            for identity, _, _ in cut:
                acknowledged = self.acknowledged.get(identity)
                if acknowledged and acknowledged < at:
                    found.append(f"LOST: {identity} was acknowledged {at - acknowledged:.3f} s before {leader} was promoted "
                                 "without it")
        return found

    def verdict(self):
        lost = self.lost()
        for line in lost:
            self.site.record.write(line)
        self.site.record.write(f"{len(self.acknowledged)} writes acknowledged, {len(lost)} of them lost")
        return f"LOST, {len(lost)} of {len(self.acknowledged)} acknowledged commits" if lost else None
