"""Starts the stand-ins and entry hosts of a small deployment on loopback, injects
faults into them, and stops all processes at the end. Used by scripts/demo,
scripts/bench, scripts/capacity.py and the process tests; no program of the product
starts another one. Tools outside of the repository use the names of this module, so they
must not be renamed."""

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

STARTUP_TIMEOUT_S = 30
POLL_INTERVAL_S = 0.05


def wait_for(description, condition, timeout_s=STARTUP_TIMEOUT_S):
    """Polls until the condition returns a true value, and returns it; raises RuntimeError after the timeout."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        result = condition()
        if result:
            return result
        time.sleep(POLL_INTERVAL_S)
    raise RuntimeError(f"{description} did not happen within {timeout_s} s")


def http(method, address, path, body=None, timeout=5):
    """Sends one HTTP request and returns (status, text), or (0, error text) if there was no response."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method,
                                     headers={"Content-Type": "application/json"})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except (OSError, ValueError) as error:
        return 0, str(error)


def startup_message(user, database):
    body = struct.pack("!I", 196608) + f"user\0{user}\0database\0{database}\0\0".encode()
    return struct.pack("!I", len(body) + 4) + body


def read_messages(connection):
    """Yields (type, payload) of each PostgreSQL message received; raises RuntimeError when the connection is closed."""
    buffered = b""
    while True:
        while len(buffered) < 5 or len(buffered) < 1 + struct.unpack("!I", buffered[1:5])[0]:
            chunk = connection.recv(65536)
            if not chunk:
                raise RuntimeError("the connection was closed")
            buffered += chunk
        end = 1 + struct.unpack("!I", buffered[1:5])[0]
        yield buffered[:1], buffered[5:end]
        buffered = buffered[end:]


def row_values(payload):
    count, offset, values = struct.unpack("!H", payload[:2])[0], 2, []
    for _ in range(count):
        length = struct.unpack("!i", payload[offset:offset + 4])[0]
        offset += 4
        values.append(None if length < 0 else payload[offset:offset + length].decode())
        offset += max(length, 0)
    return values


def query(address, statement, user="bench", database="bench"):
    """Runs one statement over the simple query protocol and returns its rows, with values as text or None."""
    ip, port = address.rsplit(":", 1)
    with socket.create_connection((ip, int(port)), timeout=5) as connection:
        connection.sendall(startup_message(user, database))
        messages = read_messages(connection)
        while next(messages)[0] != b"Z":
            pass
        text = statement.encode() + b"\0"
        connection.sendall(b"Q" + struct.pack("!I", len(text) + 4) + text)
        rows = []
        for message_type, payload in messages:
            if message_type == b"D":
                rows.append(row_values(payload))
            if message_type == b"E":
                raise RuntimeError(f"{statement} failed: {payload!r}")
            if message_type == b"Z":
                return rows


class Process:
    """A child process whose standard output and standard error are redirected to files."""

    def __init__(self, deployment, name, arguments):
        self.name = name
        self.out_path = os.path.join(deployment.folder, name + ".out")
        self.err_path = os.path.join(deployment.folder, name + ".err")
        with open(self.out_path, "w") as out, open(self.err_path, "w") as err:
            self.process = subprocess.Popen(arguments, stdout=out, stderr=err, stdin=subprocess.DEVNULL)

    def alive(self):
        return self.process.poll() is None

    def signal(self, number):
        if self.alive():
            self.process.send_signal(number)

    def search(self, path, pattern):
        with open(path) as file:
            found = re.search(pattern, file.read())
        if not found and not self.alive():
            raise RuntimeError(f"{self.name} ended before its output matched: " + open(self.err_path).read()[-2000:])
        return found

    def listening_address(self):
        found = wait_for(f"{self.name} listening", lambda: self.search(self.out_path, r'"listening":\s*(\d+)'))
        return "127.0.0.1:" + found.group(1)


class Host:
    """One entry host: an egrettided process with its settings file and addresses."""

    def __init__(self, deployment, name, zone, policy):
        self.deployment, self.name, self.zone = deployment, name, zone
        settings = {"host": name, "zone": zone, "callerAddress": "127.0.0.1:0", "peerAddress": "127.0.0.1:0",
                    "operatorAddress": "127.0.0.1:0", "platformAddress": deployment.platform, "logLevel": "info",
                    "sessionKey": "a key for tests only", "routingPolicy": policy, **deployment.host_settings}
        path = os.path.join(deployment.folder, name + ".json")
        with open(path, "w") as file:
            json.dump(settings, file)
        self.process = Process(deployment, name, [deployment.program_path("egrettided"), "--settings", path])
        found = wait_for(f"{name} started", lambda: self.process.search(
            self.process.out_path,
            r'"event":"started".*?"caller_address":"([^"]+)","peer_address":"([^"]+)","operator_address":"([^"]+)"'))
        self.caller, self.peer_address, self.operator_address = found.groups()

    def ready(self):
        return http("GET", self.operator_address, "/ready")[0] == 200

    def metrics(self):
        status, text = http("GET", self.operator_address, "/metrics")
        return text if status == 200 else ""


class Lab:
    """The processes of one deployment. As a context manager it kills them all and deletes their files at the end."""

    def __init__(self, binaries):
        self.binaries = os.path.abspath(binaries)
        self.directory = tempfile.TemporaryDirectory(prefix="egrettide-lab-")
        self.folder = self.directory.name
        self.processes, self.hosts, self.upstreams = {}, {}, {}
        # Additional settings of hosts that are started later.
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

    def program_path(self, name):
        return os.path.join(self.binaries, name)

    def start_process(self, name, arguments):
        self.processes[name] = Process(self, name, arguments)
        return self.processes[name]

    def start_platform(self, *options):
        self.platform = self.start_process(
            "platform", [self.program_path("platform"), "--listen", "127.0.0.1:0", *options]).listening_address()

    def start_upstream(self, name, zone, slots, connections, extra_options):
        arguments = [self.program_path("upstream"), "--listen", "127.0.0.1:0", "--name", name, "--zone", zone,
                     "--slots", str(slots), "--connections", str(connections)] + extra_options
        address = self.start_process(name, arguments).listening_address()
        self.upstreams[name] = {"name": name, "address": address, "zone": zone, "slots": slots, "connections": connections}
        return address

    def start_group(self, database, zones, slots, connections, extra_options, seed=0):
        """Starts a primary and its replicas, one per entry of `zones` and each with a different seed.
        Returns the database's entry for the configuration."""
        primary = self.start_upstream(f"{database}-1", zones[0], slots, connections,
                                      extra_options + ["--primary-term", "1", "--seed", str(seed + 1)])
        for number, zone in enumerate(zones[1:], start=2):
            self.start_upstream(f"{database}-{number}", zone, slots, connections,
                                extra_options + ["--follow", primary, "--seed", str(seed + number)])
        names = [f"{database}-{number}" for number in range(1, len(zones) + 1)]
        return {"name": database, "durability": "majority", "upstreams": [self.upstreams[name] for name in names]}

    def start_host(self, name, zone, policy="adaptive"):
        self.hosts[name] = Host(self, name, zone, policy)
        self.processes[name] = self.hosts[name].process
        return self.hosts[name]

    def announce_hosts(self):
        listed = [{"name": host.name, "zone": host.zone, "address": host.peer_address, "state": "live"}
                  for host in self.hosts.values()]
        status, text = http("PUT", self.platform, "/admin/hosts", listed)
        if status not in (200, 204):
            raise RuntimeError(f"the platform stand-in rejected the host list: {text}")

    def set_platform_faults(self, **settings):
        http("PUT", self.platform, "/admin/faults", settings)

    def ctl(self, *arguments):
        host = next(host for host in self.hosts.values() if host.process.alive())
        address = [] if "--operator" in arguments else ["--operator", host.operator_address]
        return subprocess.run([self.program_path("egrettidectl"), "--platform", self.platform, *address, *arguments],
                              capture_output=True, text=True, timeout=90)

    def apply(self, configuration):
        path = os.path.join(self.folder, "configuration.json")
        with open(path, "w") as file:
            json.dump(configuration, file, indent=2)
        completed = self.ctl("apply", path)
        if completed.returncode != 0:
            raise RuntimeError(f"egrettidectl apply failed with status {completed.returncode}: {completed.stdout}{completed.stderr}")
        wait_for("all hosts ready", lambda: all(host.ready() for host in self.hosts.values()))
        return completed.stdout

    def primary_of(self, database):
        """Returns the confirmed primary with the highest term that any host reports, or an empty string."""
        best = (0, "")
        for host in self.hosts.values():
            if not host.process.alive():
                continue
            status, text = http("GET", host.operator_address, "/status")
            if status != 200:
                continue
            for group in json.loads(text)["groups"]:
                if group["database"] == database and group["confirmed"]:
                    best = max(best, (group["term"], group["primary"]))
        return best[1]

    def targets(self):
        return ",".join(host.caller for host in self.hosts.values())

    def read_counts(self):
        """Returns the reads summed over all hosts: {(served_by, reason): count}."""
        counts = {}
        for host in self.hosts.values():
            for line in host.metrics().splitlines():
                found = re.match(r'egrettide_reads_total\{(.*)\} (\d+)', line)
                if not found:
                    continue
                labels = dict(re.findall(r'(\w+)="([^"]*)"', found.group(1)))
                key = (labels["served_by"], labels.get("reason", ""))
                counts[key] = counts.get(key, 0) + int(found.group(2))
        return counts

    def start_hosts(self, zones, hosts_per_zone, policy="adaptive"):
        """Starts `hosts_per_zone` hosts in every zone, named host-a1 and so on, and sends the host
        list to the platform stand-in."""
        for zone in zones:
            for number in range(1, hosts_per_zone + 1):
                self.start_host(f"host-{zone}{number}", zone, policy)
        self.announce_hosts()

    def store_call_counts(self):
        status, text = http("GET", self.platform, "/admin/calls")
        return json.loads(text) if status == 200 else {}

    def group_status_by_host(self, database):
        """Returns the group's entry in the status of each host that answers: {host: entry}."""
        entries_by_host = {}
        for host in self.hosts.values():
            status, text = http("GET", host.operator_address, "/status") if host.process.alive() else (0, "")
            if status == 200:
                entries = [entry for entry in json.loads(text)["groups"] if entry["database"] == database]
                entries_by_host.update({host.name: entry for entry in entries})
        return entries_by_host

    def query_upstream(self, upstream, statement):
        """Runs one statement directly on an upstream's stand-in, without a host in between."""
        return query(self.upstreams[upstream]["address"], statement)

    def fresh_tables(self, database):
        """Deletes the rows that the load tool wrote, so that another run can start on the same deployment."""
        host = next(host for host in self.hosts.values() if host.process.alive())
        address, port = host.caller.rsplit(":", 1)
        for table in ("bookings", "charges", "progress"):
            subprocess.run([self.program_path("egrettide-bench"), "--targets", f"{address}:{port}", "--database", database,
                            "--execute", f"DELETE FROM {table}"], check=True, timeout=60)

    def bench(self, process="load", **options):
        """Starts the load tool and waits until it reports that its callers have started."""
        arguments = [self.program_path("egrettide-bench"), "--targets", self.targets()]
        for name, value in options.items():
            arguments += ["--" + name.replace("_", "-"), str(value)]
        load = self.start_process(process, arguments)
        wait_for("load started", lambda: load.search(load.out_path, r'"started":true'), 120)
        return load

    def result(self, load, timeout_s):
        """Waits until the load tool exits and returns its result, the last line of its output."""
        try:
            load.process.wait(timeout=timeout_s)
        except subprocess.TimeoutExpired:
            raise RuntimeError("the load tool did not exit before the timeout") from None
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
    """Returns the share, 0 to 1, of the reads in read_counts() that replicas served."""
    total = sum(reads.values())
    by_replica = sum(count for (served_by, _), count in reads.items() if served_by == "replica")
    return by_replica / total if total else 0.0
