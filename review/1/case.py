"""Two clients in one transaction: an entry host that becomes the home of an upstream for a second
time numbers its transactions from the same start. See claim.txt."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

from standins import Client, Closed, code_of, run_case, small_configuration, succeeded  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The platform restarts a killed process after a short delay.
RESTART_S = 1.0


def homes_taken(host, upstream):
    return len([entry for entry in host.events("home_taken") if entry.get("upstream") == upstream])


async def resting_client(record, client):
    """The rest of a transaction that has written and then rested: one more write and the commit."""
    outcomes = []
    for text in ("WRITE item-x2 from-x", "COMMIT"):
        try:
            _, lines = await client.run(text)
        except Closed:
            outcomes.append("closed")
            return outcomes
        outcomes.append("success" if succeeded(lines) else code_of(lines))
    record.say(f"client x, resumed: {outcomes}")
    return outcomes


def check(record, service, x, y):
    """PINNED and UNASKED as written: no statement of a client inside another client's transaction,
    no commit of a transaction whose client has not asked for it."""
    owners, broken = {}, []
    statement_of = {identity: (name, text) for name, client in (("x", x), ("y", y)) for identity, text in client.sent}
    for backend, connection, transaction, identity, text, outcome, _ in service.ran:
        if identity not in statement_of or transaction is None:
            continue
        client = statement_of[identity][0]
        owner = owners.setdefault((backend, connection, transaction), client)
        if owner != client:
            broken.append(f"{text} of client {client} (id {identity}) ran on {backend}, connection {connection}, "
                          f"inside the transaction of client {owner}: {outcome}")
    for line in broken:
        record.say("BROKEN " + line)
    return broken


async def play(deployment):
    record = deployment.record
    await deployment.start_store()
    service = await deployment.add_service("booking", ["chi-hall", "det-hall", "cle-hall"])
    deployment.configure(7, *small_configuration("booking"))
    for name, zone in (("front-chi-1", "chi-hall"), ("front-chi-2", "chi-hall"), ("front-det-1", "det-hall"),
                       ("front-cle-1", "cle-hall")):
        deployment.add_host(name, zone)
    await deployment.all_ready()
    await asyncio.sleep(5)
    primary = service.primary.name
    pair = [deployment.hosts["front-chi-1"], deployment.hosts["front-chi-2"]]
    first = next(host for host in pair if homes_taken(host, primary))
    second = next(host for host in pair if host is not first)
    record.say(f"primary {primary}; its connections are held by {first.name}")

    async def kill_first(time_number):
        known = homes_taken(second, primary)
        if TROUBLE:
            record.say(f"kill number {time_number} of {first.name}")
            first.kill()
            await deployment.wait_for(f"{second.name} takes the primary over", lambda: homes_taken(second, primary) > known)
        await asyncio.sleep(1.0)

    async def restart_first():
        if TROUBLE:
            left = len(second.events("home_left"))
            first.start()
            await deployment.wait_for(f"{first.name} takes the primary back", lambda: len(second.events("home_left")) > left)
        # The resting transaction may be ended after txIdleMs, 3 s.
        await asyncio.sleep(5.0)

    front = deployment.hosts["front-det-1"].front
    await kill_first(1)
    x = await Client(record, "x").connect(front, "booking-pay")
    await x.run("BEGIN")
    _, lines = await x.run("WRITE item-x1 from-x")
    if not succeeded(lines):
        record.say("client x could not begin its transaction")
        return 2
    await restart_first()
    await kill_first(2)
    y = await Client(record, "y").connect(front, "booking-pay")
    await y.run("BEGIN")
    _, lines = await y.run("WRITE item-y from-y")
    if not succeeded(lines):
        record.say("client y could not begin its transaction")
        return 2
    outcomes = await resting_client(record, x)
    try:
        _, lines = await y.run("ROLLBACK")
        record.say(f"client y, ROLLBACK: {lines}")
    except Closed:
        record.say("client y, ROLLBACK: closed")
    await asyncio.sleep(0.5)
    log = [write for _, writes, _ in service.primary.log for write in writes]
    record.say(f"log of {service.primary.name}: {[(item, data) for item, data, _ in log]}")
    if ("item-y", "from-y") in [(item, data) for item, data, _ in log]:
        record.say("BROKEN the write of client y is committed, though client y has only asked for ROLLBACK")
    if outcomes[-1:] == ["success"] and "item-x1" not in [item for item, _, _ in log]:
        record.say("BROKEN client x got a success for its COMMIT, and its first write is lost")
    broken = check(record, service, x, y)
    record.say("rule PINNED broken" if broken else "rule PINNED held")
    return 1 if broken else 0


run_case(FOLDER, play)
