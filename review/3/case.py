"""A session reads a state without its own acknowledged write, just after a change of the primary.
See claim.txt."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

from standins import Client, Closed, run_case, small_configuration, succeeded  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SESSIONS = 40
# Pace of one session, in requests a second, and its share of writes, as on the site's sheet for
# hours-log: 315 requests a second for three databases, 12% of them writes.
PACE = 2.6
WRITES = 0.12
# Rounds of trouble; the first one that breaks the rule ends the run.
ROUNDS = 8
ROUND_S = 12.2
DEAF_S = 6.5
CRASH_S = 7.0
CUT_S = 5.0


class Session:
    def __init__(self, deployment, number, address):
        self.deployment, self.number, self.address = deployment, number, address
        self.random = random.Random(number)
        self.item, self.value = f"item{number}", 0
        # The value and id of the last acknowledged write of this session.
        self.acknowledged, self.write_id = 0, None
        self.reads = self.writes = 0
        self.stale = []

    async def run(self):
        client = None
        while True:
            try:
                if client is None:
                    client = await Client(self.deployment.record, f"s{self.number}").connect(self.address, "hours-log")
                    self.acknowledged, self.write_id = 0, None
                await asyncio.sleep(self.random.expovariate(PACE))
                await self.step(client)
            except (Closed, OSError):
                client = None
                await asyncio.sleep(0.1)

    async def step(self, client):
        if self.random.random() < WRITES:
            self.value += 1
            identity, lines = await client.run(f"WRITE {self.item} {self.value}")
            if succeeded(lines):
                self.acknowledged, self.write_id = self.value, identity
                self.writes += 1
            return
        wanted, write_id = self.acknowledged, self.write_id
        identity, lines = await client.run(f"READ {self.item}")
        if not succeeded(lines) or write_id is None:
            return
        self.reads += 1
        row = lines[0].split(" ")[1]
        seen = 0 if row == "none" else int(row)
        if seen < wanted:
            self.stale.append((identity, seen, wanted, write_id))


async def trouble(deployment, service):
    """A replica receives nothing for a while, and the primary crashes meanwhile; the replica that
    will be promoted is partitioned from one entry host, the one in the deaf replica's zone."""
    record, loop = deployment.record, asyncio.get_running_loop()
    primary = service.primary
    deaf = service.backends["i-booking-3" if primary.name != "i-booking-3" else "i-booking-2"]
    successor = next(each for each in service.backends.values() if each not in (primary, deaf))
    host = next(each for each in deployment.hosts.values() if each.zone == deaf.zone)
    record.say(f"{deaf.name} receives nothing for {DEAF_S} s")
    deaf.deaf = True
    loop.call_later(DEAF_S, setattr, deaf, "deaf", False)
    await asyncio.sleep(0.2)
    record.say(f"the primary {primary.name} crashes, for {CRASH_S} s")
    primary.crash()
    loop.call_later(CRASH_S, primary.restart)
    await asyncio.sleep(0.4)
    record.say(f"{successor.name} is partitioned from {host.name}, for {CUT_S} s")
    successor.cut_from(host)
    loop.call_later(CUT_S, successor.heal)


def check(record, service, sessions):
    """STALE as written: a read ran on a log that lacks a commit of the same session that was
    acknowledged before. Commits that a promotion rolled back don't count."""
    kept = {identity for _, writes, _ in service.primary.log for _, _, identity in writes}
    broken = False
    for session in sessions:
        for identity, seen, wanted, write_id in session.stale:
            if write_id not in kept:
                record.add(f"session {session.number}, read {identity}: its write {write_id} was rolled back; doesn't count")
                continue
            ran = next(entry for entry in service.ran if entry[3] == identity)
            record.say(f"BROKEN session {session.number}: read {identity} ran on {ran[0]} and saw {seen}, after the session's "
                       f"write of {wanted} (id {write_id}) was acknowledged; the write is in the log of {service.primary.name}")
            broken = True
        session.stale.clear()
    return broken


async def play(deployment):
    record = deployment.record
    await deployment.start_store()
    service = await deployment.add_service("booking", ["chi-hall", "det-hall", "cle-hall"], work_s=0.030)
    deployment.configure(7, *small_configuration("booking"))
    for name, zone in (("front-chi-1", "chi-hall"), ("front-chi-2", "chi-hall"), ("front-det-1", "det-hall"),
                       ("front-cle-1", "cle-hall")):
        deployment.add_host(name, zone)
    await deployment.all_ready()
    await asyncio.sleep(2)
    addresses = [host.front for host in deployment.hosts.values()]
    sessions = [Session(deployment, number, addresses[number % len(addresses)]) for number in range(SESSIONS)]
    for session in sessions:
        deployment.tasks.append(asyncio.create_task(session.run()))
    await asyncio.sleep(4)
    broken = False
    for number in range(ROUNDS if TROUBLE else 2):
        record.say(f"round {number + 1}, primary {service.primary.name}, term {service.term}")
        if TROUBLE:
            await trouble(deployment, service)
        await asyncio.sleep(ROUND_S)
        broken = check(record, service, sessions)
        if broken:
            break
    record.say(f"primary {service.primary.name}, term {service.term}; reads {sum(s.reads for s in sessions)}, "
               f"writes {sum(s.writes for s in sessions)}")
    record.say("rule STALE broken" if broken else "rule STALE held")
    return 1 if broken else 0


run_case(FOLDER, play, 115)
