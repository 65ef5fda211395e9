"""Measures the memory and processor time that an entry host needs per idle caller,
database, statement, configuration change and other host, at several sizes each, and
fits a line to each. Prints one JSON object per measurement; docs/CAPACITY.md
extrapolates the slopes to the target size.

  python3 scripts/capacity.py build/release [MEASUREMENT]...
"""

import json
import os
import socket
import struct
import sys
import time

import lab

SETTLE_S = 1.5
MEASUREMENT_S = 4.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def rss_kib(pid):
    with open(f"/proc/{pid}/status") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def control_cpu_seconds(host):
    for line in host.metrics().splitlines():
        if line.startswith("egrettide_control_cpu_seconds"):
            return float(line.split()[-1])
    return 0.0


def fit(points):
    """Fits a line to (x, y) points by least squares."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    sum_of_squares = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_of_squares
    intercept = mean_y - slope * mean_x
    residual = max(abs(y - slope * x - intercept) for x, y in points)
    return {"points": points, "slope": slope, "intercept": intercept, "largest_residual": residual}


def open_session(address):
    """Opens a session, waits until it is ready and returns its connection, which stays idle."""
    ip, port = address.rsplit(":", 1)
    caller = socket.create_connection((ip, int(port)), timeout=10)
    body = struct.pack("!I", 196608) + b"user\0parent\0database\0booking1\0\0"
    caller.sendall(struct.pack("!I", len(body) + 4) + body)
    received = b""
    while b"Z\x00\x00\x00\x05I" not in received:
        chunk = caller.recv(4096)
        if not chunk:
            raise RuntimeError("the host closed the connection of a new caller")
        received += chunk
    return caller


def start_one_host(binaries, databases, **host_settings):
    """Starts a deployment of one host and the given number of databases; returns it and the databases' entries."""
    site = lab.Lab(binaries)
    site.host_settings = host_settings
    site.start_platform()
    groups = [site.start_group(f"booking{n}", ["a", "b", "c"], 5, 30, []) for n in range(1, databases + 1)]
    site.start_host("host-a", "a")
    site.announce_hosts()
    site.apply(lab.configuration(groups))
    return site, groups


def idle_callers(binaries):
    points_rss, points_cpu = [], []
    site, _ = start_one_host(binaries, 1)
    with site:
        host = site.hosts["host-a"]
        pid = host.process.process.pid
        callers = []
        for count in (0, 500, 1000, 2000, 4000):
            while len(callers) < count:
                callers.append(open_session(host.caller))
            time.sleep(SETTLE_S)
            before = cpu_seconds(pid)
            time.sleep(MEASUREMENT_S)
            points_cpu.append((count, (cpu_seconds(pid) - before) / MEASUREMENT_S))
            points_rss.append((count, rss_kib(pid)))
        for caller in callers:
            caller.close()
    return {"rss_kib": fit(points_rss), "cpu_cores": fit(points_cpu)}


def databases(binaries, **host_settings):
    points_rss, points_cpu = [], []
    for count in (1, 4, 8, 16):
        site, _ = start_one_host(binaries, count, **host_settings)
        with site:
            host = site.hosts["host-a"]
            pid = host.process.process.pid
            time.sleep(SETTLE_S)
            before, begin = control_cpu_seconds(host), time.monotonic()
            time.sleep(MEASUREMENT_S)
            points_cpu.append((count, (control_cpu_seconds(host) - before) / (time.monotonic() - begin)))
            points_rss.append((count, rss_kib(pid)))
    return {"rss_kib": fit(points_rss), "control_cpu_cores": fit(points_cpu)}


def databases_probed_slowly(binaries):
    return databases(binaries, idleProbeMs=1000)


def statements(binaries):
    points_cpu = []
    site, _ = start_one_host(binaries, 1)
    with site:
        pid = site.hosts["host-a"].process.process.pid
        for number, rate in enumerate((100, 200, 400, 800)):
            database = site.upstreams["booking1-1"]["name"].rsplit("-", 1)[0]
            before = cpu_seconds(pid)
            callers = 20
            load = site.bench(database=database, seconds=MEASUREMENT_S, desks=0, parents=callers,
                              parent_rate=rate / callers, seed=number + 1)
            result = site.result(load, 120)
            points_cpu.append((result["attempts"] / MEASUREMENT_S, (cpu_seconds(pid) - before) / MEASUREMENT_S))
            site.fresh_tables(database)
    return {"cpu_cores_by_statements_per_second": fit(points_cpu)}


def configuration_changes(binaries):
    points = []
    site, groups = start_one_host(binaries, 1)
    with site:
        host = site.hosts["host-a"]
        for count in (0, 10, 20, 40):
            before = control_cpu_seconds(host)
            for change in range(count):
                groups[0]["replicaWaitMs"] = 10 + (change % 7) + count
                site.apply(lab.configuration(groups))
            points.append((count, control_cpu_seconds(host) - before))
    return {"control_cpu_seconds_by_changes": fit(points)}


def control_bytes(host):
    return sum(float(line.split()[-1]) for line in host.metrics().splitlines()
               if line.startswith("egrettide_peer_bytes_total") and 'kind="control"' in line)


def hosts(binaries):
    """Measures the cost of membership per host, as the mean over all hosts, for several numbers of hosts."""
    points_bytes, points_cpu, points_rss = [], [], []
    for count in (2, 4, 8, 16, 32):
        with lab.Lab(binaries) as site:
            site.start_platform()
            group = site.start_group("booking1", ["a", "b", "c"], 5, 30, [])
            for number in range(count):
                site.start_host(f"host-{number}", "abcd"[number % 4])
            site.announce_hosts()
            site.apply(lab.configuration([group]))
            time.sleep(SETTLE_S + 2)
            all_hosts = list(site.hosts.values())
            before = [(control_bytes(host), control_cpu_seconds(host)) for host in all_hosts]
            begin = time.monotonic()
            time.sleep(MEASUREMENT_S)
            after = [(control_bytes(host), control_cpu_seconds(host)) for host in all_hosts]
            per_second_and_host = 1 / (time.monotonic() - begin) / count
            points_bytes.append((count, sum(a[0] - b[0] for a, b in zip(after, before)) * per_second_and_host))
            points_cpu.append((count, sum(a[1] - b[1] for a, b in zip(after, before)) * per_second_and_host))
            points_rss.append((count, sum(rss_kib(host.process.process.pid) for host in all_hosts) / count))
    return {"control_bytes_per_second": fit(points_bytes), "control_cpu_cores": fit(points_cpu), "rss_kib": fit(points_rss)}


def main():
    binaries = sys.argv[1]
    wanted = sys.argv[2:] or ["idle_callers", "databases", "statements", "configuration_changes", "hosts"]
    for name in wanted:
        print(json.dumps({name: globals()[name](binaries)}), flush=True)


if __name__ == "__main__":
    main()
