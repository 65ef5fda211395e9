"""The primary is cut off and acknowledges some more commits. Another backend is promoted, serves reads
without them and crashes. The cut ends, and the first one is promoted again, with those commits."""

import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
from standins import Client, Site, has_trouble, run  # noqa: E402
from writers import Writers  # noqa: E402

WRITERS = 6
READERS = 4
# "replicas 8 ms behind"
LAG_S = 0.008
# zone_cut: for_s = 5.5; replica_lag "deaf crash": for_s = 6.5
CUT_S = 5.5
DEAF_S = 6.5
# How long the second primary leads before it crashes.
LEADS_S = 1.5
ROUNDS = 4


class Readers:
    """Sessions that read on the `primary` route all the time."""

    def __init__(self, site, length_s):
        self.site, self.end = site, time.monotonic() + length_s
        self.sent, self.answered = {}, set()
        for number in range(READERS):
            threading.Thread(target=self.read, args=(number,), daemon=True).start()

    def read(self, number):
        client, connection = None, number
        while time.monotonic() < self.end:
            try:
                if client is None:
                    connection += 1
                    client = Client(self.site.front(connection), "primary-db", self.site.record)
                identity = f"{random.getrandbits(64):016x}"
                self.sent[identity] = time.monotonic()
                answer, _ = client.query(f"READ item{number}", identity)
                if answer and answer[-1].startswith("COMPLETE "):
                    self.answered.add(identity)
                time.sleep(0.02)
            except OSError:
                client = None
                time.sleep(0.05)


def disturb(site):
    group = site.group
    first = group.leader
    home = next(host for host in site.hosts if host["zone"] == first.zone)
    site.record.write(f"{group.name_of(first)} is cut off from the other backends and from all hosts but the one in its zone")
    first.cut_off = True
    first.cut_hosts = {host["process"].pid for host in site.hosts if host is not home}
    begun = time.monotonic()
    while group.leader is first and time.monotonic() < begun + CUT_S - 1:
        time.sleep(0.005)
    second = group.leader
    if second is not first:
        for member in group.members:
            member.deaf = member is not second
        site.record.write("the replicas receive nothing")
        time.sleep(LEADS_S)
        group.set_dark(second, True)
    time.sleep(max(0.0, begun + CUT_S - time.monotonic()))
    site.record.write("the cut ends")
    first.cut_off, first.cut_hosts = False, set()
    time.sleep(DEAF_S - CUT_S + 1.5)
    for member in group.members:
        member.deaf = False
    if second is not first:
        group.set_dark(second, False)


def stale_reads(site, writers, readers):
    """Reads with success that ran on a log without a commit that was acknowledged before their first
    byte, and that is in the log in the end: no promotion rolled it back."""
    kept = {write[0] for _, writes, _ in site.group.leader.log for write in writes}
    found = []
    for identity, _, server, log in site.group.reads:
        sent = readers.sent.get(identity)
        if sent is None or identity not in readers.answered:
            continue
        held = {write[0] for _, writes, _ in log for write in writes}
        lacking = [w for w, at in list(writers.acknowledged.items()) if at < sent and w in kept and w not in held]
        if lacking:
            found.append(f"STALE: read {identity} ran on {server} without {len(lacking)} acknowledged commits, such as {lacking[0]}")
    return found


def main():
    with Site(FOLDER, lags=(LAG_S,) * 3) as site:
        site.start_hosts()
        length_s = ROUNDS * 14.0
        writers, readers = Writers(site, WRITERS, length_s), Readers(site, length_s)
        found = []
        for _ in range(ROUNDS if has_trouble() else 1):
            time.sleep(3)
            if has_trouble():
                disturb(site)
            time.sleep(2)
            found = stale_reads(site, writers, readers)
            if found:
                break
        for line in found:
            site.record.write(line)
        return f"STALE, {len(found)} of {len(site.group.reads)} reads" if found else None


run(main)
