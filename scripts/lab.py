"""Starts the stand-ins and entry hosts of a small deployment on loopback, injects
faults into them, and stops everything again. Used by scripts/demo and
scripts/bench; no product program starts another one."""

import json
import os
import re
import signal
import socket
import struct
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

STARTUP_BOUND_S = 30
POLL_S = 0.05


def wait_for(what, condition, bound_s=STARTUP_BOUND_S):
    """Polls until the condition gives something true; fails loudly at the bound."""
    end = time.monotonic() + bound_s
    while time.monotonic() < end:
        result = condition()
        if result:
            return result
        time.sleep(POLL_S)
    raise RuntimeError(f"{what} did not happen within {bound_s} s")


def http(method, address, path, body=None, timeout=5):
    """One HTTP call; gives (status, text), or (0, reason) when nothing answered."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method,
                                     headers={"Content-Type": "application/json"})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as refusal:
        return refusal.code, refusal.read().decode()
    except (OSError, ValueError) as failure:
        return 0, str(failure)


def startup_message(user, database):
    body = struct.pack("!I", 196608) + f"user\0{user}\0database\0{database}\0\0".encode()
    return struct.pack("!I", len(body) + 4) + body


def messages(connection):
    """Yields (type, payload) of each PostgreSQL message that comes in."""
    buffered = b""
    while True:
        while len(buffered) < 5 or len(buffered) < 1 + struct.unpack("!I", buffered[1:5])[0]:
            part = connection.recv(65536)
            if not part:
                raise RuntimeError("the connection was closed")
            buffered += part
        end = 1 + struct.unpack("!I", buffered[1:5])[0]
        yield buffered[:1], buffered[5:end]
        buffered = buffered[end:]


def row_values(payload):
    count, at, values = struct.unpack("!H", payload[:2])[0], 2, []
    for _ in range(count):
        length = struct.unpack("!i", payload[at:at + 4])[0]
        at += 4
        values.append(None if length < 0 else payload[at:at + length].decode())
        at += max(length, 0)
    return values


def query(address, statement, user="bench", database="bench"):
    """Runs one statement over the simple protocol and gives its rows as text."""
    ip, port = address.rsplit(":", 1)
    with socket.create_connection((ip, int(port)), timeout=5) as connection:
        connection.sendall(startup_message(user, database))
        incoming = messages(connection)
        while next(incoming)[0] != b"Z":
            pass
        text = statement.encode() + b"\0"
        connection.sendall(b"Q" + struct.pack("!I", len(text) + 4) + text)
        rows = []
        for kind, payload in incoming:
            if kind == b"D":
                rows.append(row_values(payload))
            if kind == b"E":
                raise RuntimeError(f"{statement} failed: {payload!r}")
            if kind == b"Z":
                return rows


class Process:
    """A program with its output in files."""

    def __init__(self, lab, name, arguments):
        self.name = name
        self.out_path = os.path.join(lab.folder, name + ".out")
        self.err_path = os.path.join(lab.folder, name + ".err")
        with open(self.out_path, "w") as out, open(self.err_path, "w") as err:
            self.process = subprocess.Popen(arguments, stdout=out, stderr=err, stdin=subprocess.DEVNULL)

    def alive(self):
        return self.process.poll() is None

    def signal(self, number):
        if self.alive():
            self.process.send_signal(number)

    def find(self, path, pattern):
        with open(path) as file:
            found = re.search(pattern, file.read())
        if not found and not self.alive():
            raise RuntimeError(f"{self.name} ended early: " + open(self.err_path).read()[-2000:])
        return found

    def listening(self):
        found = wait_for(f"{self.name} listening", lambda: self.find(self.out_path, r'"listening":\s*(\d+)'))
        return "127.0.0.1:" + found.group(1)


class Host:
    """One entry host."""

    def __init__(self, lab, name, zone, policy):
        self.lab, self.name, self.zone = lab, name, zone
        settings = {"host": name, "zone": zone, "callerAddress": "127.0.0.1:0", "peerAddress": "127.0.0.1:0",
                    "operatorAddress": "127.0.0.1:0", "platformAddress": lab.platform, "logLevel": "info",
                    "sessionKey": "a key for tests only", "routingPolicy": policy, **lab.host_settings}
        path = os.path.join(lab.folder, name + ".json")
        with open(path, "w") as file:
            json.dump(settings, file)
        self.process = Process(lab, name, [lab.program("egrettided"), "--settings", path])
        found = wait_for(f"{name} started", lambda: self.process.find(
            self.process.out_path,
            r'"event":"started".*?"caller_address":"([^"]+)","peer_address":"([^"]+)","operator_address":"([^"]+)"'))
        self.caller, self.peer, self.operators = found.groups()

    def ready(self):
        return http("GET", self.operators, "/ready")[0] == 200

    def metrics(self):
        status, text = http("GET", self.operators, "/metrics")
        return text if status == 200 else ""


class Lab:
    def __init__(self, binaries):
        self.binaries = os.path.abspath(binaries)
        self.directory = tempfile.TemporaryDirectory(prefix="egrettide-lab-")
        self.folder = self.directory.name
        self.processes, self.hosts, self.upstreams = {}, {}, {}
        # Further settings of the hosts started from now on.
        self.host_settings = {}
        self.platform = None

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.processes.values():
            process.process.wait()
        self.directory.cleanup()

    def program(self, name):
        return os.path.join(self.binaries, name)

    def run(self, name, arguments):
        self.processes[name] = Process(self, name, arguments)
        return self.processes[name]

    def start_platform(self, *options):
        self.platform = self.run("platform", [self.program("platform"), "--listen", "127.0.0.1:0", *options]).listening()

    def start_upstream(self, name, zone, slots, connections, extra):
        arguments = [self.program("upstream"), "--listen", "127.0.0.1:0", "--name", name, "--zone", zone,
                     "--slots", str(slots), "--connections", str(connections)] + extra
        address = self.run(name, arguments).listening()
        self.upstreams[name] = {"name": name, "address": address, "zone": zone, "slots": slots, "connections": connections}
        return address

    def start_group(self, database, zones, slots, connections, extra, seed=0):
        """One primary and its replicas, each in a zone of its own and with a seed of its own."""
        primary = self.start_upstream(f"{database}-1", zones[0], slots, connections,
                                      extra + ["--primary-term", "1", "--seed", str(seed + 1)])
        for number, zone in enumerate(zones[1:], start=2):
            self.start_upstream(f"{database}-{number}", zone, slots, connections,
                                extra + ["--follow", primary, "--seed", str(seed + number)])
        names = [f"{database}-{number}" for number in range(1, len(zones) + 1)]
        return {"name": database, "durability": "majority", "upstreams": [self.upstreams[name] for name in names]}

    def start_host(self, name, zone, policy="adaptive"):
        self.hosts[name] = Host(self, name, zone, policy)
        self.processes[name] = self.hosts[name].process
        return self.hosts[name]

    def announce_hosts(self):
        listed = [{"name": host.name, "zone": host.zone, "address": host.peer, "state": "live"} for host in self.hosts.values()]
        status, text = http("PUT", self.platform, "/admin/hosts", listed)
        if status not in (200, 204):
            raise RuntimeError(f"the platform refused the host list: {text}")

    def faults(self, **settings):
        http("PUT", self.platform, "/admin/faults", settings)

    def ctl(self, *arguments):
        host = next(host for host in self.hosts.values() if host.process.alive())
        address = [] if "--operator" in arguments else ["--operator", host.operators]
        return subprocess.run([self.program("egrettidectl"), "--platform", self.platform, *address, *arguments],
                              capture_output=True, text=True, timeout=90)

    def apply(self, configuration):
        path = os.path.join(self.folder, "configuration.json")
        with open(path, "w") as file:
            json.dump(configuration, file, indent=2)
        done = self.ctl("apply", path)
        if done.returncode != 0:
            raise RuntimeError(f"apply failed ({done.returncode}): {done.stdout}{done.stderr}")
        wait_for("all hosts ready", lambda: all(host.ready() for host in self.hosts.values()))
        return done.stdout

    def primary_of(self, database):
        """The confirmed primary by the highest term that any host reports."""
        best = (0, "")
        for host in self.hosts.values():
            if not host.process.alive():
                continue
            status, text = http("GET", host.operators, "/status")
            if status != 200:
                continue
            for group in json.loads(text)["groups"]:
                if group["database"] == database and group["confirmed"]:
                    best = max(best, (group["term"], group["primary"]))
        return best[1]

    def targets(self):
        return ",".join(host.caller for host in self.hosts.values())

    def reads(self):
        """Reads by who served them, summed over hosts: {(served_by, reason): count}."""
        total = {}
        for host in self.hosts.values():
            for line in host.metrics().splitlines():
                found = re.match(r'egrettide_reads_total\{(.*)\} (\d+)', line)
                if not found:
                    continue
                labels = dict(re.findall(r'(\w+)="([^"]*)"', found.group(1)))
                key = (labels["served_by"], labels.get("reason", ""))
                total[key] = total.get(key, 0) + int(found.group(2))
        return total

    def start_hosts(self, zones, each, policy="adaptive"):
        """`each` hosts in every zone, host-a1 and on, announced to the platform."""
        for zone in zones:
            for number in range(1, each + 1):
                self.start_host(f"host-{zone}{number}", zone, policy)
        self.announce_hosts()

    def store_calls(self):
        status, text = http("GET", self.platform, "/admin/calls")
        return json.loads(text) if status == 200 else {}

    def group_views(self, database):
        """What each answering host reports of the group: {host: entry}."""
        views = {}
        for host in self.hosts.values():
            status, text = http("GET", host.operators, "/status") if host.process.alive() else (0, "")
            if status == 200:
                entries = [entry for entry in json.loads(text)["groups"] if entry["database"] == database]
                views.update({host.name: entry for entry in entries})
        return views

    def sql(self, upstream, statement):
        """One statement straight to an upstream's stand-in."""
        return query(self.upstreams[upstream]["address"], statement)

    def fresh_tables(self, database):
        """Empties what the load tool left, for another run on the same site."""
        host = next(host for host in self.hosts.values() if host.process.alive())
        address, port = host.caller.rsplit(":", 1)
        for table in ("bookings", "charges", "progress"):
            subprocess.run([self.program("egrettide-bench"), "--targets", f"{address}:{port}", "--database", database,
                            "--execute", f"DELETE FROM {table}"], check=True, timeout=60)

    def bench(self, process="load", **options):
        """Starts the load tool; the callers begin once it says so."""
        arguments = [self.program("egrettide-bench"), "--targets", self.targets()]
        for name, value in options.items():
            arguments += ["--" + name.replace("_", "-"), str(value)]
        load = self.run(process, arguments)
        wait_for("load started", lambda: load.find(load.out_path, r'"started":true'), 120)
        return load

    def result(self, load, bound_s):
        try:
            load.process.wait(timeout=bound_s)
        except subprocess.TimeoutExpired:
            raise RuntimeError("the load tool did not end in time") from None
        lines = open(load.out_path).read().strip().splitlines()
        if load.process.returncode not in (0, 1) or len(lines) < 2:
            raise RuntimeError("the load tool failed: " + open(load.err_path).read()[-2000:])
        return json.loads(lines[-1])


CLASSES = [{"name": "desk", "reservedShare": 0.3, "timeoutMs": 3000, "priority": 10},
           {"name": "parent", "reservedShare": 0.0, "timeoutMs": 3000, "priority": 0}]
TENANTS = [{"name": "desk", "class": "desk", "share": 1.0}, {"name": "parent", "class": "parent", "share": 1.0}]


def configuration(databases):
    return {"databases": databases, "classes": CLASSES, "tenants": TENANTS}


def replica_share(reads):
    total = sum(reads.values())
    by_replica = sum(count for (served_by, _), count in reads.items() if served_by == "replica")
    return by_replica / total if total else 0.0
