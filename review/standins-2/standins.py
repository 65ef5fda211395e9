"""Stand-ins for the users' platform, and the processes of a small deployment.

The stand-ins follow PROTOCOL.md and DEPLOY.md and run as threads of the case's own process: the
metadata store, the calls to the platform (POST /promote), the backends of one service with their
replication, and clients. The entry hosts are real processes of the program that the deploy file
names, each with the settings file that the template of the deploy file gives.
"""

import http.server
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
STARTED = time.monotonic()


class Record:
    """The lines of record.txt, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - STARTED:8.3f}  {text}\n")
            self.file.flush()


# ---- The metadata store


class Store:
    """Objects by kind and name, with one revision counter, lists and watches."""

    def __init__(self, ip):
        self.lock = threading.Condition()
        self.revision = 100
        self.objects = {}
        self.events = []
        self.server = serve_http(ip, self.handle)
        self.address = f"{ip}:{self.server.server_address[1]}"

    def put(self, kind, name, spec):
        """A write of the operator or of a backend; returns the object."""
        with self.lock:
            known = self.objects.setdefault(kind, {}).get(name)
            if known is not None and known["spec"] == spec:
                return known
            self.revision += 1
            created = known["meta"]["created"] if known else int(time.time() * 1000)
            made = {"meta": {"name": name, "revision": self.revision, "created": created, "finalizers": [], "deleting": False},
                    "spec": spec, "status": known["status"] if known else {}}
            self.objects[kind][name] = made
            self.note(kind, made, False)
            return made

    def remove(self, kind, name):
        with self.lock:
            known = self.objects.get(kind, {}).pop(name, None)
            if known is not None:
                self.revision += 1
                self.note(kind, known, True)
            return known

    def note(self, kind, item, tombstone):
        self.events.append((self.revision, kind, {"object": item, "tombstone": tombstone}))
        self.lock.notify_all()

    def handle(self, method, path, query, body, headers):
        parts = path.strip("/").split("/")
        if parts[:2] != ["v1", "objects"] or len(parts) < 3:
            return 404, {}
        kind, name = parts[2], (parts[3] if len(parts) > 3 else None)
        if method == "GET" and name is None:
            return self.watch(kind, query) if "watch" in query else self.list(kind, query)
        with self.lock:
            known = self.objects.get(kind, {}).get(name) if name else None
            if method == "GET":
                return (200, known) if known else (404, {})
            if method == "POST":
                name = body["meta"]["name"]
                standing = self.objects.get(kind, {}).get(name)
                return (409, standing) if standing else (200, self.put(kind, name, body.get("spec")))
            wanted = (body or {}).get("meta", {}).get("revision", query.get("revision"))
            if known is None and method != "PUT":
                return 404, {}
            if wanted is not None and (known is None or int(wanted) != known["meta"]["revision"]):
                return (409, known) if known else (404, {})
            if method == "DELETE":
                return 200, self.remove(kind, name)
            if len(parts) > 4:
                known["status"] = body.get("status", {})
                return 200, known
            return (404, {}) if known is None else (200, self.put(kind, name, body.get("spec")))

    def list(self, kind, query):
        with self.lock:
            names = sorted(self.objects.get(kind, {}))
            items = [self.objects[kind][name] for name in names if name > query.get("after", "")]
            return 200, {"items": items, "hasMore": False, "currentRev": self.revision}

    def watch(self, kind, query):
        since, end = int(query["watch"]), time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self.lock:
            while True:
                events = [event for revision, of, event in self.events if revision > since and of == kind]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "currentRev": self.revision}
                self.lock.wait(left)


class Silent(Exception):
    """Raised by a handler that gives no answer."""


def serve_http(ip, handle):
    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def answer(self):
            url = urllib.parse.urlsplit(self.path)
            length = int(self.headers.get("Content-Length") or 0)
            body = json.loads(self.rfile.read(length)) if length else None
            try:
                status, document = handle(self.command, url.path, dict(urllib.parse.parse_qsl(url.query)), body, self.headers)
            except Silent:
                # The connection returns nothing further.
                while self.connection.recv(4096):
                    pass
                self.close_connection = True
                return
            payload = json.dumps(document).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(payload)))
            self.end_headers()
            self.wfile.write(payload)

        do_GET = do_POST = do_PUT = do_DELETE = answer

        def log_message(self, *_):
            pass

        def handle(self):
            try:
                super().handle()
            except OSError:
                pass

    server = http.server.ThreadingHTTPServer((ip, 0), Handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


# ---- Calls to the platform


class Platform:
    """POST /promote with the check of fencing tokens. The next `late_calls` calls get no answer and are
    carried out `late_s` later; their fence is checked then."""

    def __init__(self, ip, group, record):
        self.group, self.record = group, record
        self.lock = threading.Lock()
        self.highest = 0
        self.late_s = None
        self.late_calls = 0
        self.on_late = None
        self.server = serve_http(ip, self.handle)
        self.address = f"{ip}:{self.server.server_address[1]}"

    def handle(self, method, path, query, body, headers):
        if method != "POST" or path != "/promote":
            return 404, {}
        token, holder = int(headers["Egrettide-Fencing-Token"]), headers["Egrettide-Holder"]
        text = f"promote {body['id']} by {holder} with token {token}"
        if self.late_calls > 0:
            self.late_calls -= 1
            self.record.write(f"platform: {text}: no answer, to be carried out {self.late_s} s later")
            timer = threading.Timer(self.late_s, lambda: self.carry_out(body, token, text + " (late)"))
            timer.daemon = True
            timer.start()
            if self.on_late:
                self.on_late()
            raise Silent()
        return self.carry_out(body, token, text)

    def carry_out(self, body, token, text):
        with self.lock:
            done = token >= self.highest and self.group.can_promote(body["id"])
            self.highest = max(self.highest, token)
        self.record.write(f"platform: {text}: {'accepted' if done else '409'}")
        if not done:
            return 409, {}
        self.group.promote(body["id"])
        return 200, {}


# ---- Backends


class Member:
    def __init__(self, group, number, ip, zone, lag_s):
        self.group, self.zone, self.lag_s = group, zone, lag_s
        self.id = f"i-{random.getrandbits(32):08x}"
        self.log = []
        self.held = 0
        self.dark = threading.Event()
        self.gone = False
        self.connections = set()
        self.slots = threading.Semaphore(group.slots)
        self.listener = socket.create_server((ip, 0), backlog=64)
        self.address = f"{ip}:{self.listener.getsockname()[1]}"
        self.state = "ready"
        self.sequence = 0
        # True before a backend that replaces another one has started.
        self.hidden = False
        # How many times longer it works on everything.
        self.slowness = 1
        # Receives nothing from the primary.
        self.deaf = False
        # Partitioned from the other backends, and from the entry hosts whose process ids are in `cut_hosts`.
        self.cut_off = False
        self.cut_hosts = set()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=Connection(self, connection).run, daemon=True).start()

    def position(self):
        return (self.log[-1][0] if self.log else 0, len(self.log))

    def registration(self):
        self.sequence += 1
        return {"service": self.group.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.group.slots, "state": self.state, "coldRemainingMs": 0, "sequence": self.sequence,
                "dbRole": "primary" if self.group.leader is self else "replica", "born": self.group.born}


class Group:
    """The backends of one service. `sync` is syncReplicas. Commits reach a replica after its lag; the
    log of a replica is a prefix of the primary's, unless it was ahead of one that is promoted."""

    def __init__(self, ip, record, store, zones, sync=0, lags=(0.01, 0.01), slots=8, work_s=0.004, promote_s=0.3,
                 connections=33, heartbeat_s=1.2, service=None):
        self.service = service or f"svc{random.getrandbits(16):04x}"
        self.record, self.store, self.sync = record, store, sync
        self.slots, self.work_s, self.promote_s, self.most = slots, work_s, promote_s, connections
        self.lock = threading.Condition(threading.RLock())
        self.born = int(time.time() * 1000)
        self.term = 1
        self.members = [Member(self, i, ip, zone, lag) for i, (zone, lag) in enumerate(zip(zones, lags if len(lags) == len(zones) else (lags[0], *lags)))]
        self.leader = self.members[0]
        self.ran = []
        # Share of the requests that fail, as of a backend that is grey.
        self.failing = {}
        # The process ids of the entry hosts.
        self.host_ids = []
        self.promotions = []
        # Of each read: its id, when it ran, where, and the log that it ran on.
        self.reads = []
        threading.Thread(target=self.replicate, daemon=True).start()
        threading.Thread(target=self.beat, args=(heartbeat_s,), daemon=True).start()

    def name_of(self, member):
        return f"m{self.members.index(member) + 1}({member.id})"

    def beat(self, every_s):
        while True:
            for member in self.members:
                if not member.dark.is_set() and not member.gone and not member.hidden:
                    self.store.put("servers", member.id, member.registration())
            time.sleep(every_s)

    def tell(self, member):
        if not member.dark.is_set() and not member.gone and not member.hidden:
            self.store.put("servers", member.id, member.registration())

    def commit(self, at, writes):
        with self.lock:
            # Each replica receives it after a time of its own: log-normal around the replica's lag.
            due = {m.id: time.monotonic() + m.lag_s * random.lognormvariate(-0.18, 0.6) for m in self.members}
            at.log.append((self.term, writes, due))
            return self.term, len(at.log)

    def replicate(self):
        """A replica receives each commit of the primary once the replica's lag has passed, in order."""
        while True:
            with self.lock:
                for member in self.members:
                    if self.receives(member):
                        self.receive(member, time.monotonic())
                self.lock.notify_all()
            time.sleep(0.002)

    def receives(self, member):
        leader = self.leader
        cut = any(each.dark.is_set() or each.gone or each.cut_off for each in (member, leader))
        return member is not leader and not member.held and not member.deaf and not cut

    def receive(self, member, now):
        entries = self.leader.log
        while member.log and (len(member.log) > len(entries) or member.log[-1] is not entries[len(member.log) - 1]):
            # What the new primary doesn't have is rolled back.
            member.log.pop()
        while len(member.log) < len(entries) and entries[len(member.log)][2][member.id] <= now:
            member.log.append(entries[len(member.log)])

    def is_received(self, entry):
        term, number = entry
        return any(m is not self.leader and len(m.log) >= number and m.log[number - 1][0] == term for m in self.members)

    def can_promote(self, identity):
        found = [m for m in self.members if m.id == identity]
        return bool(found) and not found[0].gone and not found[0].dark.is_set()

    def promote(self, identity):
        def carry_out():
            with self.lock:
                member = next(m for m in self.members if m.id == identity)
                if member is self.leader or member.dark.is_set() or member.cut_off:
                    return
                before = self.leader
                self.term += 1
                self.leader = member
                lost = before.log[len(member.log):]
                self.promotions.append((time.monotonic(), member.id, [w for _, writes, _ in lost for w in writes]))
                self.record.write(f"backends: {self.name_of(member)} leads term {self.term} with {len(member.log)} commits; "
                                  f"{self.name_of(before)} had {len(before.log)}")
                for each in self.members:
                    each.held = 0
                    if not each.dark.is_set() and not each.cut_off:
                        each.log = each.log[:len(member.log)]
                self.lock.notify_all()
            self.tell(before)
            self.tell(member)

        timer = threading.Timer(self.promote_s, carry_out)
        timer.daemon = True
        timer.start()

    def set_dark(self, member, dark):
        """A dark backend neither reads nor answers; its connections stay open for 3 s."""
        self.record.write(f"backends: {self.name_of(member)} {'goes dark' if dark else 'is back'}")
        if dark:
            member.dark.set()
            gone = list(member.connections)

            def drop():
                for connection in gone:
                    connection.drop()
            timer = threading.Timer(3.0, drop)
            timer.daemon = True
            timer.start()
            return
        member.dark.clear()
        self.tell(member)


CONTROL = ("STATUS", "PAUSE", "RESUME", "STEPDOWN")


class Connection:
    """One connection to a backend. Lines end with CR LF, as the page says."""

    def __init__(self, member, link):
        self.member, self.group, self.link = member, member.group, link
        self.state, self.read_only, self.begun_in = "I", False, 0
        self.values, self.prepared, self.writes = {}, {}, []
        self.closed = False
        self.host = None

    def is_cut(self):
        """True while nothing passes on this connection."""
        if self.member.dark.is_set():
            return True
        if self.member.cut_hosts and self.host is None:
            self.host = process_of(self.link.getpeername(), self.group.host_ids)
        return self.host in self.member.cut_hosts

    def drop(self):
        self.closed = True
        self.writes = []
        try:
            self.link.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.link.close()

    def run(self):
        self.member.connections.add(self)
        try:
            lines = read_lines(self.link)
            for line in lines:
                while self.is_cut():
                    time.sleep(0.01)
                    if self.closed:
                        return
                if not self.take(line):
                    return
        except OSError:
            pass
        finally:
            self.member.connections.discard(self)
            self.drop()

    def send(self, text):
        while self.is_cut():
            time.sleep(0.01)
            if self.closed:
                raise OSError("closed")
        self.link.sendall(text.encode("latin-1"))

    def take(self, line):
        word, _, rest = line.partition(" ")
        if word == "STARTUP":
            fields = rest.split(" ")
            if fields[0] != self.group.service or (len(fields) > 2 and fields[2] != self.member.id):
                self.send("ERROR MOVED\r\n")
                return False
            if len(self.member.connections) > self.group.most:
                self.send("ERROR TOOMANY\r\n")
                return False
            self.send(f"READY I {self.where()}\r\n")
            return True
        if word == "QUERY":
            identity, _, text = rest.partition(" ")
            answer = self.query(identity, text)
            self.send(f"{answer}READY {self.state} {self.where()}\r\n")
            return True
        return False

    def where(self):
        term, number = self.member.position()
        return f"{term}.{number}"

    def leads(self):
        return self.group.leader is self.member

    def query(self, identity, text):
        if text.startswith("AFTER "):
            _, mark, text = text.split(" ", 2)
            with self.group.lock:
                if self.member.position() < tuple(int(part) for part in mark.split(".")):
                    return "ERROR LAGGING\r\n"
        verb, _, rest = text.partition(" ")
        if verb not in CONTROL and random.random() < self.group.failing.get(self.member.id, 0):
            return self.fail(identity, text)
        if self.state == "E" and verb not in ("ROLLBACK", "COMMIT"):
            return "ERROR MALFORMED\r\n"
        if verb in CONTROL:
            # These occupy a slot too.
            with self.member.slots:
                time.sleep(self.group.work_s * self.member.slowness)
            return self.control(verb, rest)
        if verb == "RESET":
            self.values, self.prepared = {}, {}
        elif verb == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
        elif verb == "PREPARE":
            name, _, shape = rest.partition(" ")
            self.prepared[name] = shape
        elif verb == "DEALLOC":
            self.prepared.pop(rest, None)
        elif verb == "ROLLBACK":
            self.state, self.writes = "I", []
        elif verb == "BEGIN":
            with self.group.lock:
                if rest != "READ" and not self.leads():
                    return f"ERROR READONLY {self.member.id}\r\n"
                self.state, self.read_only, self.begun_in, self.writes = "T", rest == "READ", self.group.term, []
        else:
            return self.run_statement(identity, verb, rest, text)
        return "COMPLETE -\r\n"

    def fail(self, identity, text):
        """A request that fails has no effect; in a transaction the transaction fails with it."""
        self.group.record.write(f"backend {self.group.name_of(self.member)} fails {identity} {text!r}")
        self.state = "E" if self.state == "T" else self.state
        return "ERROR FAILED\r\n"

    def control(self, verb, rest):
        with self.group.lock:
            if verb == "PAUSE" and not self.leads() and int(rest) > self.group.term:
                self.member.held = int(rest)
            elif verb == "RESUME":
                self.member.held = 0
            role = "primary" if self.leads() else "replica"
            return (f"DATAROW {role} {self.group.term} {self.where()} {self.member.held} 1 0 "
                    f"{len(self.member.connections)}\r\nCOMPLETE -\r\n")

    def run_statement(self, identity, verb, rest, text):
        with self.member.slots:
            time.sleep(self.group.work_s * self.member.slowness)
        while self.member.dark.is_set() and not self.closed:
            time.sleep(0.01)
        if self.closed:
            raise OSError("closed")
        shape = None
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return "ERROR NOSTMT\r\n"
            shape = self.prepared[name]
            verb = shape.split(" ")[0]
        with self.group.lock:
            lost = self.state == "T" and not self.read_only and (not self.leads() or self.begun_in != self.group.term)
            if lost and not (verb == "COMMIT" and not self.writes):
                self.state = "I" if verb == "COMMIT" else "E"
                self.writes = []
                return f"ERROR READONLY {self.member.id}\r\n"
            writes = verb == "WRITE"
            if writes and (self.read_only if self.state == "T" else not self.leads()):
                self.state = "E" if self.state == "T" else "I"
                return f"ERROR READONLY {self.member.id}\r\n"
            self.group.ran.append((identity, text, self.state, dict(self.values), shape, self.member.id))
            self.group.record.write(f"backend {self.group.name_of(self.member)} runs {identity} {text!r} in state {self.state}")
            if verb == "COMMIT":
                failed = self.state == "E"
                self.state = "I"
                pending, self.writes = ([] if failed else self.writes), []
                return self.finish(pending)
            item, _, data = rest.partition(" ")
            if verb == "READ":
                self.group.reads.append((identity, time.monotonic(), self.member.id, list(self.member.log)))
                return f"DATAROW {self.value_of(item)}\r\nCOMPLETE {self.signature()}\r\n"
            if verb == "WRITE":
                self.writes.append((identity, item, data))
                if self.state == "I":
                    pending, self.writes = self.writes, []
                    return self.finish(pending)
                return f"COMPLETE {self.signature()}\r\n"
        return "ERROR MALFORMED\r\n"

    def finish(self, writes):
        """Commits, and with syncReplicas waits until one replica has received the commit."""
        if writes:
            entry = self.group.commit(self.member, writes)
            while self.group.sync and not self.group.is_received(entry):
                self.group.lock.wait(0.05)
                if self.closed or not self.leads():
                    raise OSError("closed")
        return f"COMPLETE {self.signature()}\r\n"

    def value_of(self, item):
        found = "-"
        for _, writes, _ in [*self.member.log, (0, self.writes, {})]:
            for _, name, data in writes:
                found = data if name == item else found
        return found

    def signature(self):
        return f"{self.group.term}.{random.getrandbits(64):016x}"


def process_of(address, process_ids):
    """Which of the processes holds the socket with this local address, by /proc."""
    wanted = f":{address[1]:04X}"
    with open("/proc/net/tcp") as file:
        inodes = {fields[9] for fields in map(str.split, file) if fields[1].endswith(wanted)}
    for process in process_ids:
        folder = f"/proc/{process}/fd"
        for entry in os.listdir(folder):
            try:
                link = os.readlink(os.path.join(folder, entry))
            except OSError:
                continue
            if link.startswith("socket:[") and link[8:-1] in inodes:
                return process
    return 0


def read_lines(link):
    buffered = b""
    while True:
        while b"\r\n" in buffered:
            line, buffered = buffered.split(b"\r\n", 1)
            yield line.decode("latin-1")
        received = link.recv(65536)
        if not received:
            return
        buffered += received


# ---- Clients


class Client:
    """One session. `query` returns the lines of the answer without READY, and the state."""

    def __init__(self, address, database, record, who="demo", timeout_s=12):
        ip, port = address.rsplit(":", 1)
        self.record = record
        self.link = socket.create_connection((ip, int(port)), timeout=timeout_s)
        self.link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.lines = read_lines(self.link)
        self.send(f"STARTUP {database} {who}")
        self.answer()

    def send(self, text):
        self.link.sendall((text + "\r\n").encode("latin-1"))

    def answer(self):
        lines = []
        for line in self.lines:
            if line.startswith("READY"):
                return lines, line.split(" ")[1]
            lines.append(line)
            if line.startswith("ERROR NODB"):
                raise ConnectionError(line)
        raise ConnectionError(f"closed after {lines}")

    def query(self, text, identity=None, quiet=False):
        identity = identity or f"{random.getrandbits(64):016x}"
        if not quiet:
            self.record.write(f"client sends {identity} {text!r}")
        self.send(f"QUERY {identity} {text}")
        answered = self.answer()
        if not quiet:
            self.record.write(f"client is answered {identity}: {answered}")
        return answered

    def close(self):
        try:
            self.link.close()
        except OSError:
            pass


# ---- Entry hosts


def rendered(template, fields):
    """The template language of DEPLOY.md, as far as deploy/settings.json uses it."""

    def value(path, current):
        if path == ".":
            return current
        found = fields
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else (found or {}).get(part)
        return found

    def text(found, as_json):
        if as_json:
            return json.dumps(found)
        return "" if found is None else str(found)

    def fill(part, current):
        part = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                      lambda m: "" if value(m[1], current) in (None, False) else fill(m[2], value(m[1], current)), part, flags=re.S)
        return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", lambda m: text(value(m[1], current), m[2]), part)

    return fill(template, fields)


class Site:
    """One deployment: stand-ins and entry hosts. As a context manager it ends all processes."""

    def __init__(self, folder, zones=("chi-hall", "det-hall", "cle-hall"), routes=("primary", "bounded_staleness", "read_your_writes"),
                 timeout_ms=2000, **group):
        self.folder, self.zones, self.routes = folder, zones, routes
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="egrettide-case-")
        self.base = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        self.ip = f"{self.base}.1"
        self.store = Store(self.ip)
        self.group = Group(self.ip, self.record, self.store, zones, **group)
        self.platform = Platform(self.ip, self.group, self.record)
        self.hosts = []
        self.timeout_ms = timeout_ms
        self.version = 1
        self.write_configuration()

    def write_configuration(self):
        self.version += random.randint(1, 9)
        self.store.put("config", "main", {
            "version": self.version,
            "routes": [{"name": f"r{i}", "host": f"{kind}-db", "type": kind, "timeoutMs": self.timeout_ms, "priority": 1,
                        "service": self.group.service, "maxStalenessMs": 1500, "targetLatencyMs": 400}
                       for i, kind in enumerate(self.routes)],
            "services": [{"name": self.group.service, "maxConnections": self.group.most, "syncReplicas": self.group.sync}],
            "limits": {"txIdleMs": 5000}})

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for host in self.hosts:
            if host["process"].poll() is None:
                host["process"].send_signal(signal.SIGCONT)
                host["process"].kill()
        for host in self.hosts:
            host["process"].wait()
        self.temporary.cleanup()

    def start_hosts(self, count=3):
        for number in range(count):
            self.start_host(number)
        self.wait("all hosts are ready", lambda: all(self.is_ready(host) for host in self.hosts))
        self.wait("a write is served", self.serves)

    def start_host(self, number):
        with open(os.path.join(REPOSITORY, "deploy", "settings.json")) as file:
            template = file.read()
        ip, zone = f"{self.base}.{number + 10}", self.zones[number % len(self.zones)]
        fields = {
            "node": f"front-{zone}-{number + 1}", "role": "host", "machineClass": "front", "serves": ["front"], "ip": ip,
            "zone": zone, "region": "great-lakes", "internalPorts": [7440, 7455], "seeds": [], "bootstrap": True,
            "heartbeatMs": 1200, "listen": {"front": f"{ip}:8784", "ready": f"{ip}:8785"},
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4300, "linkMbps": 1000.0, "diskMb": 0},
            "bounds": {"drainMs": 7000, "graceS": 6, "configApplyMs": 3000, "enforceFencing": True, "stabilityWindowMs": 4000},
            "platform": {"address": self.store.address}, "cloudApi": {"address": self.platform.address}}
        path = os.path.join(self.temporary.name, f"settings-{number}.toml")
        with open(path, "w") as file:
            file.write(rendered(template, fields))
        log = open(os.path.join(self.temporary.name, f"host-{number}.log"), "w")
        process = subprocess.Popen([os.path.join(REPOSITORY, "target", "egrettided"), "--settings", path], cwd=REPOSITORY,
                                   stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.group.host_ids.append(process.pid)
        self.hosts.append({"process": process, "front": f"{ip}:8784", "ready": f"{ip}:8785", "log": log.name, "zone": zone})

    def is_ready(self, host):
        ip, port = host["ready"].split(":")
        try:
            with socket.create_connection((ip, int(port)), timeout=1) as link:
                link.sendall(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return b" 200 " in link.recv(4096)
        except OSError:
            return False

    def serves(self):
        try:
            client = Client(self.hosts[0]["front"], f"{self.routes[0]}-db", self.record)
            answered, _ = client.query("WRITE warm 1", quiet=True)
            client.close()
            return bool(answered) and answered[-1].startswith("COMPLETE ")
        except OSError:
            return False

    def wait(self, what, condition, timeout_s=25):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if condition():
                self.record.write(what)
                return
            time.sleep(0.1)
        raise RuntimeError(f"not in {timeout_s} s: {what}")

    def front(self, number=0):
        return self.hosts[number % len(self.hosts)]["front"]


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run(main):
    """Exits with 1 if `main` returns the broken rule, 0 if it held, 2 if the case could not run."""
    def stop(*_):
        raise RuntimeError("it was stopped")

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    try:
        broken = main()
    except Exception as error:
        print(f"could not run: {type(error).__name__}: {error}")
        sys.stdout.flush()
        os._exit(2)
    print(f"broken: {broken}" if broken else "held")
    sys.stdout.flush()
    os._exit(1 if broken else 0)
