"""Stand-ins for the platform of a small deployment, on loopback addresses and the real clock:
the metadata store with the /promote call, the database backends, clients of the line protocol,
and a starter of egrettided processes. Standard library only.

The stand-ins behave as PROTOCOL.md and DEPLOY.md describe a sound platform, backend and client.
Everything that clients and backends see is written to the record."""

import asyncio
import json
import os
import random
import re
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HEARTBEAT_S = 1.2
HISTORY_S = 20.0
PAGE = 500


class Record:
    """Collects lines and writes them to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def add(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.add(text)
        print(f"{time.monotonic() - self.start:8.3f} {text}", flush=True)


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


# ---- The store and the /promote call


class Store:
    """The metadata store: objects by kind and name, conditional changes, lists and watches."""

    def __init__(self, record):
        self.record = record
        self.objects, self.revision, self.history = {}, 0, []
        self.changed = asyncio.Event()
        self.fences, self.on_promote = {}, None
        self.promotions = []

    def set(self, kind, name, spec, status=None):
        kinds = self.objects.setdefault(kind, {})
        known = kinds.get(name)
        if known is not None and known["spec"] == spec and known["status"] == status:
            return known
        self.revision += 1
        created = known["meta"]["created"] if known else self.revision
        entry = {"meta": {"name": name, "revision": self.revision, "created": created, "finalizers": [],
                          "deleting": False}, "spec": spec, "status": status}
        kinds[name] = entry
        self.note(kind, entry, False)
        return entry

    def remove(self, kind, name):
        entry = self.objects.get(kind, {}).pop(name, None)
        if entry is not None:
            self.revision += 1
            self.note(kind, entry, True)
        return entry

    def note(self, kind, entry, tombstone):
        now = time.monotonic()
        self.history.append((now, self.revision, kind, {"object": entry, "tombstone": tombstone}))
        self.changed.set()
        self.changed = asyncio.Event()

    def events(self, kind, since):
        """The events after a revision, or None when that history is gone."""
        oldest = time.monotonic() - HISTORY_S
        if any(revision > since and at < oldest for at, revision, _, _ in self.history):
            return None
        return [event for _, revision, each, event in self.history if each == kind and revision > since]

    async def handle(self, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/promote" and method == "POST":
            return self.promote(headers, json.loads(body))
        parts = url.path.strip("/").split("/")
        if parts[:2] != ["v1", "objects"] or len(parts) < 3:
            return 404, {}
        kind, name = parts[2], parts[3] if len(parts) > 3 else None
        if method == "GET":
            return await self.get(kind, name, query)
        known = self.objects.get(kind, {}).get(name) if name else None
        if method == "DELETE":
            if known is None:
                return 404, {}
            if "revision" in query and int(query["revision"]) != known["meta"]["revision"]:
                return 409, known
            return 200, self.remove(kind, name)
        sent = json.loads(body)
        if method == "POST":
            name = sent["meta"]["name"]
            known = self.objects.get(kind, {}).get(name)
            return (409, known) if known else (201, self.set(kind, name, sent.get("spec")))
        if known is None:
            return 404, {}
        expected = sent.get("meta", {}).get("revision")
        if expected is not None and expected != known["meta"]["revision"]:
            return 409, known
        if len(parts) > 4:
            return 200, self.set(kind, name, known["spec"], sent.get("status"))
        return 200, self.set(kind, name, sent.get("spec"), known["status"])

    async def get(self, kind, name, query):
        if name is not None:
            known = self.objects.get(kind, {}).get(name)
            return (200, known) if known else (404, {})
        if "watch" not in query:
            names = sorted(each for each in self.objects.get(kind, {}) if each > query.get("after", ""))
            items = [self.objects[kind][each] for each in names[:PAGE]]
            return 200, {"items": items, "hasMore": len(names) > PAGE, "currentRev": self.revision}
        since, end = int(query["watch"]), time.monotonic() + min(30000, int(query.get("waitMs", 0))) / 1000
        while True:
            events, changed = self.events(kind, since), self.changed
            if events is None or since > self.revision:
                return 410, {}
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def promote(self, headers, body):
        holder, token = headers["egrettide-holder"], int(headers["egrettide-fencing-token"])
        seen = self.fences.get(body["service"], 0)
        if token < seen:
            answer = 409
        else:
            self.fences[body["service"]] = token
            answer = 200 if self.on_promote(body["service"], body["id"]) else 409
        self.promotions.append((holder, token, body["service"], body["id"], answer))
        self.record.add(f"platform promote service={body['service']} id={body['id']} holder={holder} token={token} -> {answer}")
        return answer, {}

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip() for line in head[1:] if ":" in line}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, answer = await self.handle(method, target, headers, body)
                await asyncio.sleep(0.004)
                data = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()


# ---- Backends


class Backend:
    """One server of a database service. Its log is a list of (term, writes, committer)."""

    def __init__(self, service, name, zone, slots):
        self.service, self.name, self.zone = service, name, zone
        self.ip, self.port, self.server = "127.0.0.1", 0, None
        self.log, self.held_term, self.running = [], 0, True
        self.registers = True
        self.draining = False
        # While deaf, a replica receives nothing.
        self.deaf = False
        self.slots, self.queue = asyncio.Semaphore(slots), 0
        self.slot_count, self.sequence = slots, 0
        self.connections = set()
        # Hosts that this backend is partitioned from.
        self.cut_hosts = set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    @property
    def role(self):
        return "primary" if self.service.primary is self else "replica"

    @property
    def position(self):
        return (self.log[-1][0] if self.log else 0, len(self.log))

    def registration(self):
        return {"service": self.service.name, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slot_count, "state": "draining" if self.draining else "ready", "coldRemainingMs": 0,
                "dbRole": self.role, "sequence": self.sequence}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=2 * 1024 * 1024)
        self.port = self.server.sockets[0].getsockname()[1]
        asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            if self.running and self.registers:
                self.sequence += 1
                self.service.store.set("servers", self.name, self.registration())
                self.last_beat = time.monotonic()
            elif time.monotonic() - self.last_beat > 3 * HEARTBEAT_S:
                self.service.store.remove("servers", self.name)
            await asyncio.sleep(HEARTBEAT_S if self.running and self.registers else 0.1)

    def crash(self):
        self.running = False
        for connection in list(self.connections):
            connection.abort()

    def restart(self):
        """Comes back with its log, as a replica if another backend was promoted."""
        self.running = True
        self.held_term = 0
        self.service.replicate(self)

    def cut_from(self, host):
        """Partitions this backend from one host: what is sent either way is lost."""
        self.cut_hosts.add(host)
        for connection in self.connections:
            connection.lost = connection.lost or connection.host is host

    def heal(self):
        """The partition ends. Connections that it has held up stay silent and end, as their far ends were dark."""
        self.cut_hosts.clear()
        for connection in list(self.connections):
            if connection.lost:
                connection.abort()

    async def serve(self, reader, writer):
        if not self.running:
            writer.transport.abort()
            return
        connection = BackendConnection(self, reader, writer)
        connection.host = self.service.host_of(writer.get_extra_info("peername")[1])
        connection.lost = connection.host in self.cut_hosts
        self.connections.add(connection)
        try:
            await connection.run()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()


def text_of(position):
    return f"{position[0]}.{position[1]}"


class BackendConnection:
    last_number = 0

    def __init__(self, backend, reader, writer):
        self.backend, self.service, self.reader, self.writer = backend, backend.service, reader, writer
        BackendConnection.last_number += 1
        self.number = BackendConnection.last_number
        self.host, self.lost = None, False
        self.state, self.read_only, self.lead_term = "I", False, 0
        self.writes, self.values, self.prepared = [], {}, {}
        self.statements, self.transaction = [], 0

    def abort(self):
        self.writer.transport.abort()

    def send(self, lines):
        if self.backend.running and not self.lost:
            self.writer.write("".join(line + "\r\n" for line in lines).encode())

    async def line(self):
        line = (await self.reader.readuntil(b"\n")).decode("utf-8", "replace").rstrip("\r\n")
        while self.lost:
            await asyncio.sleep(0.05)
        return line

    async def run(self):
        words = (await self.line()).split(" ")
        if words[0] != "STARTUP" or words[1] != self.service.name or (len(words) > 3 and words[3] != self.backend.name):
            self.send(["ERROR MOVED another service or backend"])
            return
        if len(self.backend.connections) > self.service.connections:
            self.send(["ERROR TOOMANY connections"])
            return
        await asyncio.sleep(0.012)
        self.send([f"READY I {text_of(self.backend.position)}"])
        while True:
            line = await self.line()
            if line == "TERMINATE":
                return
            word, _, rest = line.partition(" ")
            identity, _, text = rest.partition(" ")
            if word != "QUERY":
                return
            answer = await self.statement(identity, text)
            self.send(answer + [f"READY {self.state} {text_of(self.backend.position)}"])
            await self.writer.drain()

    def note(self, identity, text, outcome):
        inside = f" transaction={self.number}.{self.transaction}" if self.state != "I" else ""
        inside += f" AFTER {text_of(self.after)}" if self.after else ""
        self.service.ran.append((self.backend.name, self.number, self.transaction if self.state != "I" else None,
                                 identity, text, outcome, dict(self.values)))
        self.service.record.add(f"backend {self.backend.name} connection={self.number}{inside} id={identity} {text} -> {outcome}")

    async def statement(self, identity, text):
        verb, _, rest = text.partition(" ")
        after = self.after = None
        if verb == "AFTER":
            mark, _, text = rest.partition(" ")
            after = tuple(int(part) for part in mark.split("."))
            verb, _, rest = text.partition(" ")
            self.after = after
        if self.state == "E" and verb not in ("COMMIT", "ROLLBACK"):
            return ["ERROR MALFORMED the transaction failed"]
        if after is not None and self.backend.position < after:
            self.service.record.add(f"backend {self.backend.name} connection={self.number} id={identity} AFTER "
                                    f"{text_of(after)} {text} -> LAGGING at {text_of(self.backend.position)}")
            return ["ERROR LAGGING the log lacks the position"]
        if verb == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
        elif verb == "RESET":
            self.values, self.prepared = {}, {}
        elif verb == "PREPARE":
            name, _, shape = rest.partition(" ")
            self.prepared[name] = shape
        elif verb == "DEALLOC":
            self.prepared.pop(rest, None)
        elif verb == "BEGIN":
            return self.begin(identity, rest == "READ")
        elif verb == "ROLLBACK":
            self.note(identity, text, "rolled back")
            self.state, self.writes = "I", []
        elif verb == "PAUSE":
            if self.backend.role == "replica" and int(rest) > self.service.term:
                self.backend.held_term = int(rest)
            return self.status()
        elif verb == "RESUME":
            self.backend.held_term = 0
            self.service.replicate(self.backend)
            return self.status()
        elif verb in ("COMMIT", "READ", "WRITE", "EXECUTE", "STATUS"):
            return await self.in_slot(identity, verb, rest, text)
        else:
            return ["ERROR MALFORMED unknown statement"]
        return ["COMPLETE -"]

    def begin(self, identity, read_only):
        if self.state != "I":
            self.state = "E"
            return ["ERROR MALFORMED a transaction is open"]
        if not read_only and self.backend.role != "primary":
            return [f"ERROR READONLY {self.backend.name}"]
        self.transaction += 1
        self.state, self.read_only, self.lead_term, self.writes = "T", read_only, self.service.term, []
        self.note(identity, "BEGIN READ" if read_only else "BEGIN", "begun")
        return ["COMPLETE -"]

    def status(self):
        backend = self.backend
        return [f"DATAROW {backend.role} {self.service.term_of(backend)} {text_of(backend.position)} {backend.held_term} 0 "
                f"{backend.queue} {len(backend.connections)}", "COMPLETE -"]

    async def in_slot(self, identity, verb, rest, text):
        backend = self.backend
        if backend.queue >= 40:
            return ["ERROR BUSY no slot"]
        backend.queue += 1
        try:
            async with backend.slots:
                await asyncio.sleep(0.002 if verb == "STATUS" else self.service.work_s)
                if verb == "STATUS":
                    return self.status()
                length = len(backend.log)
                answer = self.execute(identity, verb, rest, text)
                if self.service.sync and len(backend.log) > length:
                    await self.service.received_by_replicas(backend, len(backend.log))
                return answer
        finally:
            backend.queue -= 1

    def execute(self, identity, verb, rest, text):
        backend, service = self.backend, self.service
        lost_lead = self.state == "T" and not self.read_only and (backend.role != "primary" or self.lead_term != service.term)
        if verb == "COMMIT":
            if self.state == "I":
                return ["ERROR MALFORMED no transaction is open"]
            if self.state == "E":
                self.note(identity, text, "rolled back")
                self.state, self.writes = "I", []
                return ["ERROR ABORTED the transaction failed"]
            if lost_lead and self.writes:
                self.state, self.writes = "I", []
                return [f"ERROR READONLY {backend.name}"]
            if self.writes:
                service.commit(backend, self.writes, identity)
            self.note(identity, text, f"committed {[item for item in self.writes]}")
            self.state, self.writes = "I", []
            return [f"COMPLETE {service.signature()}"]
        if lost_lead:
            self.state = "E"
            return [f"ERROR READONLY {backend.name}"]
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return ["ERROR NOSTMT unknown name"]
            verb = self.prepared[name].split(" ")[0]
        item, _, data = rest.partition(" ")
        if verb == "READ":
            value = service.value(backend, item, self.writes)
            self.note(identity, text, f"row {value}")
            return [f"DATAROW {value}", f"COMPLETE {service.signature()}"]
        if backend.role != "primary" or (self.state == "T" and self.read_only):
            self.state = "E" if self.state == "T" else "I"
            return [f"ERROR READONLY {backend.name}"]
        if self.state == "T":
            self.writes.append((item, data, identity))
            self.note(identity, text, "written in the transaction")
        else:
            service.commit(backend, [(item, data, identity)], identity)
            self.note(identity, text, "committed")
        return [f"COMPLETE {service.signature()}"]


class Service:
    """A primary and its replicas, with replication and promotion."""

    def __init__(self, name, store, record, connections=33, lag_s=0.008, promote_s=0.6, work_s=0.008, sync=0):
        self.name, self.store, self.record, self.connections = name, store, record, connections
        self.lag_s, self.promote_s, self.work_s = lag_s, promote_s, work_s
        # syncReplicas of the configuration: replicas that must have received a commit before it is acknowledged.
        self.sync = sync
        # Logs of the backends that were promoted, as they took the lead: (name, term, ids of the commits).
        self.takeovers = []
        self.backends, self.primary, self.term, self.ran = {}, None, 1, []
        self.terms = {}
        # Returns the host that has a connection with this local port.
        self.host_of = lambda port: None

    async def add(self, name, zone, slots=5):
        backend = Backend(self, name, zone, slots)
        self.backends[name] = backend
        self.terms[name] = self.term
        if self.primary is None:
            self.primary = backend
            backend.log = [(1, [], "-")]
        else:
            backend.log = list(self.primary.log)
        await backend.start()
        return backend

    def term_of(self, backend):
        return self.terms[backend.name]

    def signature(self):
        return f"{self.term}." + secrets.token_hex(8)

    def value(self, backend, item, pending):
        for name, data, _ in reversed(pending):
            if name == item:
                return data
        for _, writes, _ in reversed(backend.log):
            for name, data, _ in reversed(writes):
                if name == item:
                    return data
        return "none"

    def commit(self, backend, writes, identity):
        backend.log.append((self.term, list(writes), identity))
        for other in self.backends.values():
            if other is not backend:
                asyncio.get_running_loop().call_later(self.lag_s, self.replicate, other)

    async def received_by_replicas(self, primary, length):
        """Waits until as many replicas as `sync` says have received the log up to a length. A primary that
        loses the lead meanwhile never acknowledges the commit."""
        def count():
            replicas = [each for each in self.backends.values() if each is not primary]
            return sum(len(each.log) >= length and each.log[length - 1] == primary.log[length - 1] for each in replicas)
        while self.primary is not primary or not primary.running or len(primary.log) < length or count() < self.sync:
            await asyncio.sleep(0.002)

    def replicate(self, backend):
        if backend is self.primary or backend.held_term or backend.deaf or not backend.running or not self.primary.running:
            return
        backend.log, self.terms[backend.name] = list(self.primary.log), self.term

    def promote(self, name):
        backend = self.backends.get(name)
        if backend is None or not backend.running:
            return False
        if backend is not self.primary:
            asyncio.get_running_loop().call_later(self.promote_s, self.take_lead, backend)
        return True

    def take_lead(self, backend):
        if not backend.running or backend is self.primary:
            return
        self.takeovers.append((backend.name, self.term + 1, {identity for _, _, identity in backend.log}))
        self.primary, self.term = backend, self.term + 1
        for other in self.backends.values():
            other.held_term = 0
            self.terms[other.name] = self.term
            self.replicate(other)
        self.record.say(f"service {self.name}: {backend.name} leads term {self.term}")
        backend.log.append((self.term, [], "-"))


# ---- Clients


class Closed(Exception):
    pass


class Client:
    """One session. Each statement gets a new id, which starts with the client's name."""

    last_number = 0

    def __init__(self, record, name):
        self.record, self.name = record, name
        self.reader = self.writer = None
        self.state = "I"
        self.sent = []

    async def connect(self, address, database):
        ip, port = address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(ip, int(port))
        answer = await self.exchange(f"STARTUP {database} {self.name}")
        if not answer[-1].startswith("READY"):
            raise Closed(answer)
        self.record.add(f"client {self.name} connected to {address} database {database}")
        return self

    async def exchange(self, line, timeout=8):
        self.writer.write((line + "\r\n").encode())
        lines = []
        while True:
            try:
                raw = await asyncio.wait_for(self.reader.readuntil(b"\n"), timeout)
            except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError) as error:
                raise Closed(repr(error)) from None
            lines.append(raw.decode().rstrip("\r\n"))
            if lines[-1].startswith("READY"):
                self.state = lines[-1].split(" ")[1]
                return lines
            if lines[-1].startswith("ERROR") and line.startswith("STARTUP"):
                return lines

    async def run(self, text):
        Client.last_number += 1
        identity = f"{self.name}-{Client.last_number}"
        self.sent.append((identity, text))
        self.record.add(f"client {self.name} sends id={identity} {text}")
        try:
            lines = await self.exchange(f"QUERY {identity} {text}")
        except Closed as error:
            self.record.add(f"client {self.name} id={identity} connection ended: {error}")
            raise
        self.record.add(f"client {self.name} id={identity} answered {' | '.join(lines)}")
        return identity, lines

    def close(self):
        if self.writer:
            self.writer.close()


def succeeded(lines):
    return any(line.startswith("COMPLETE") for line in lines)


def code_of(lines):
    return next((line.split(" ")[1] for line in lines if line.startswith("ERROR")), "")


# ---- Hosts


def rendered(template, fields):
    """Fills in a template of settings as DEPLOY.md describes; only the forms that this project uses."""
    def lookup(path):
        value = fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def section(match):
        value = lookup(match.group(1))
        return "" if value in (None, False) else match.group(2).replace("{{.}}", json.dumps(value))

    def value_of(match):
        value = lookup(match.group(1))
        if match.group(2):
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value_of, text)


class Host:
    """One entry host: egrettided, started with the command of the deploy file."""

    def __init__(self, deployment, name, zone, ip):
        self.deployment, self.name, self.zone, self.ip = deployment, name, zone, ip
        self.process = None
        self.front, self.ready_address = f"{ip}:{free_port(ip)}", f"{ip}:{free_port(ip)}"
        fields = {"node": name, "zone": zone, "ip": ip, "internalPorts": [deployment.peer_port, deployment.peer_port + 15],
                  "listen": {"front": self.front, "ready": self.ready_address},
                  "limits": {"maxFds": 4300, "linkMbps": 1000.0, "memoryMb": 260},
                  "platform": {"address": deployment.store_address}, "cloudApi": {"address": deployment.store_address},
                  "bounds": {"drainMs": 7000, "graceS": 6}}
        with open(os.path.join(REPOSITORY, "deploy", "settings.json")) as file:
            text = rendered(file.read(), fields)
        self.settings_path = os.path.join(deployment.folder, name + ".json")
        with open(self.settings_path, "w") as file:
            file.write(text)
        self.out_path = os.path.join(deployment.folder, name + ".out")

    def start(self):
        with open(os.path.join(REPOSITORY, "deploy", "system.toml")) as file:
            command = re.search(r'^run = "([^"]+)"', file.read(), re.M).group(1).split(" ")
        command = [self.settings_path if word == "/etc/egrettide/settings.toml" else word for word in command]
        command[0] = os.path.join(REPOSITORY, command[0])
        environment = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "HOME": "/tmp", "LANG": "C.UTF-8",
                       "EGRETTIDE_BOOT": self.settings_path}
        with open(self.out_path, "ab") as out:
            self.process = subprocess.Popen(command, cwd=REPOSITORY, env=environment, stdin=subprocess.DEVNULL,
                                            stdout=out, stderr=out)
        self.deployment.record.say(f"host {self.name} started, process {self.process.pid}")

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        self.deployment.record.say(f"host {self.name} gets {signal.Signals(number).name}")
        if self.alive():
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def events(self, name):
        """The log lines of one event, in order."""
        found = []
        with open(self.out_path, errors="replace") as file:
            for line in file:
                try:
                    entry = json.loads(line)
                except ValueError:
                    continue
                if entry.get("event") == name:
                    found.append(entry)
        return found

    def log_size(self):
        return os.path.getsize(self.out_path) if os.path.exists(self.out_path) else 0

    async def get(self, address, path):
        ip, port = address.rsplit(":", 1)
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: {ip}\r\nConnection: close\r\n\r\n".encode())
            data = await asyncio.wait_for(reader.read(-1), 2)
            writer.close()
            head, _, body = data.decode(errors="replace").partition("\r\n\r\n")
            return int(head.split(" ")[1]), body
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            return 0, ""

    async def is_ready(self):
        return (await self.get(self.ready_address, "/v1/ready"))[0] == 200

    async def status(self):
        code, body = await self.get(f"{self.ip}:9464", "/status")
        return json.loads(body) if code == 200 else {}


class Deployment:
    """The store, one service of three backends, and the hosts."""

    def __init__(self, case_folder):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="egrettide-review-")
        self.net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.peer_port = 7440
        self.hosts, self.services = {}, {}
        self.store, self.store_address = None, ""
        self.tasks = []

    async def start_store(self):
        self.store = Store(self.record)
        ip = self.net + ".250"
        server = await asyncio.start_server(self.store.serve, ip, 0, limit=8 * 1024 * 1024)
        self.store_address = f"{ip}:{server.sockets[0].getsockname()[1]}"
        self.store.on_promote = lambda service, name: service in self.services and self.services[service].promote(name)

    async def add_service(self, name, zones, **options):
        service = Service(name, self.store, self.record, **options)
        service.host_of = self.host_with_port
        self.services[name] = service
        for number, zone in enumerate(zones, start=1):
            await service.add(f"i-{name}-{number}", zone)
        return service

    def configure(self, version, routes, services, limits):
        self.store.set("config", "main", {"version": version, "routes": routes, "services": services, "limits": limits})

    def add_host(self, name, zone):
        host = Host(self, name, zone, f"{self.net}.{len(self.hosts) + 1}")
        self.hosts[name] = host
        host.start()
        return host

    def host_with_port(self, port):
        """The host whose process holds the socket with a local port."""
        wanted = f":{port:04X}"
        with open("/proc/net/tcp") as table:
            rows = [line.split() for line in table][1:]
        inodes = {f"socket:[{row[9]}]" for row in rows if row[1].endswith(wanted)}
        for host in self.hosts.values():
            if not host.alive():
                continue
            folder = f"/proc/{host.process.pid}/fd"
            try:
                if any(os.readlink(os.path.join(folder, each)) in inodes for each in os.listdir(folder)):
                    return host
            except OSError:
                continue
        return None

    async def wait_for(self, what, condition, timeout_s=30):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{what} did not happen within {timeout_s} s")

    async def all_ready(self):
        async def ready():
            return all([await host.is_ready() for host in self.hosts.values()])
        await self.wait_for("all hosts ready", ready)

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for host in self.hosts.values():
            if host.alive():
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, kind, service, timeout_ms, priority, target_ms, staleness_ms=None):
    entry = {"name": "r-" + name, "host": name, "pathPrefix": "/", "type": kind, "timeoutMs": timeout_ms,
             "targetLatencyMs": target_ms, "priority": priority, "service": service, "attempts": 2}
    if staleness_ms is not None:
        entry["maxStalenessMs"] = staleness_ms
    return entry


def small_configuration(service, sync_replicas=0, tx_idle_ms=3000):
    """The routes of the site lakeshore-hq for one service."""
    routes = [route("booking-pay", "primary", service, 1000, 1, 200),
              route("hours-log", "read_your_writes", service, 1000, 2, 400, 2500),
              route("tutor-browse", "bounded_staleness", service, 3000, 2, 800, 1500)]
    services = [{"name": service, "healthPath": "/health", "maxConnections": 33, "protocol": "h1", "tls": False,
                 "syncReplicas": sync_replicas}]
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
              "txIdleMs": tx_idle_ms}
    return routes, services, limits


def run_case(case_folder, play, limit_s=110):
    """Runs a case and exits with its result: 0 the rule held, 1 it was broken, 2 it could not run."""
    async def whole():
        deployment = Deployment(case_folder)
        try:
            return await asyncio.wait_for(play(deployment), limit_s)
        except Exception as error:  # noqa: BLE001: every other end means that the case could not run
            deployment.record.say(f"the case could not run: {error!r}")
            return 2
        finally:
            deployment.stop()
            sys.stdout.flush()

    async def end():
        # Ends at once: the open connections of the stand-ins need no orderly end.
        os._exit(await whole())

    asyncio.run(end())
