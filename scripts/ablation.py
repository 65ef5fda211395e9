#!/usr/bin/env python3
"""What each mechanism is worth on a deployment: plays days with it and without it.

    scripts/ablation.py --bench PROGRAM --site FILE [--site FILE]... [--day NAME]... [--seed N]...
                        [--off NAME[+NAME]]... [--jobs N] [--json FILE] [--plot FILE.svg] [--from-json FILE]

Works in a scratch copy of this repository, with one mechanism after the other named under
`mechanismsOff` in the copy's settings (docs/OPERATIONS.md); NAME+NAME switches two off
together. Days are paired: the same days and seeds with everything on. Without charged
processor time, so that a play mostly repeats. Prints a row a mechanism and site: mean worth on
and off, the difference with its spread, share of reads by replicas, rules broken. The
journal of the copy is brought back into this repository."""

import argparse
import concurrent.futures
import json
import pathlib
import re
import shutil
import statistics
import subprocess
import sys

import whatbinds

ROOT = pathlib.Path(__file__).resolve().parent.parent
DAYS = ["trouble-1", "scale-1", "trouble-2", "scale-2", "trouble-3"]


def mechanisms():
    schema = json.loads((ROOT / "schema/settings.schema.json").read_text())
    return schema["properties"]["mechanismsOff"]["items"]["enum"]


def prepare(scratch, bench):
    """A copy of the repository, built. Settings are no input of the build, so one will do."""
    copy = scratch / "copy"
    if not copy.exists():
        subprocess.run(["git", "clone", "-q", str(ROOT), str(copy)], check=True)
    subprocess.run([bench, "build"], cwd=copy, check=True, stdout=subprocess.DEVNULL)
    return copy


def switch_off(copy, names):
    plain = (ROOT / "deploy/settings.json").read_text()
    switched = plain.replace('"trafficThreads"', f'"mechanismsOff": {json.dumps(names)},\n  "trafficThreads"', 1)
    (copy / "deploy/settings.json").write_text(switched)


def play(copy, bench, site, day, seed):
    command = [bench, "run", str(site), day, "--no-cpu", "--jobs", "1", "--log", "all"]
    command += ["--seed", str(seed)] if seed else []
    # The hosts' lines come on the one stream, the result on the other.
    out = subprocess.run(command, cwd=copy, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, errors="replace").stdout
    row = re.search(r"^%s\s+\S+\s+\S+\s+(\S+)" % re.escape(day), out, re.M)
    if not row:
        return None
    served = whatbinds.Served()
    for _, host, event in whatbinds.events(out.splitlines()):
        served.take(host, event)
    total = served.total()
    reads = total["reads_by_replica"] + total["reads_by_primary"]
    broken = re.search(r"BROKEN: ([^(\n]*)", out)
    return {"worth": float(row[1]), "share": total["reads_by_replica"] / max(1, reads), "broken": broken[1].strip() if broken else ""}


def play_all(copy, given):
    plays = []
    for name in [""] + (given.off or mechanisms()):
        switch_off(copy, name.split("+") if name else [])
        tasks = {}
        with concurrent.futures.ThreadPoolExecutor(given.jobs) as pool:
            for site in given.site:
                for day in given.day or DAYS:
                    for seed in given.seed or [0]:
                        tasks[pathlib.Path(site).stem, day, seed] = pool.submit(play, copy, given.bench, site, day, seed)
        for (site, day, seed), task in tasks.items():
            plays.append({"off": name, "site": site, "day": day, "seed": seed, **(task.result() or {"failed": True})})
    return plays


def summarise(plays):
    at = {(p["off"], p["site"], p["day"], p["seed"]): p for p in plays if "worth" in p}
    rows = []
    for name, site in sorted({(p["off"], p["site"]) for p in plays if p["off"]}):
        pairs = [(at["", s, d, seed], p) for (o, s, d, seed), p in at.items()
                 if (o, s) == (name, site) and ("", s, d, seed) in at]
        gains = [on["worth"] - off["worth"] for on, off in pairs]
        if not gains:
            continue
        rows.append({
            "off": name, "site": site, "plays": len(gains),
            "on": statistics.mean(on["worth"] for on, _ in pairs), "without": statistics.mean(off["worth"] for _, off in pairs),
            "gain": statistics.mean(gains),
            "error": statistics.stdev(gains) / len(gains) ** 0.5 if len(gains) > 1 else 0.0,
            "share_on": statistics.mean(on["share"] for on, _ in pairs),
            "share_without": statistics.mean(off["share"] for _, off in pairs),
            "broken": sorted({off["broken"] for _, off in pairs if off["broken"]}),
        })
    return rows


def print_rows(rows):
    print("| mechanism off | site | plays | worth on | off | gain of it | replica share on | off | rules broken off |")
    print("|---|---|---|---|---|---|---|---|---|")
    for row in rows:
        print(f"| {row['off']} | {row['site']} | {row['plays']} | {row['on']:.3f} | {row['without']:.3f} |"
              f" {row['gain']:+.3f} ± {row['error']:.3f} | {row['share_on']:.3f} | {row['share_without']:.3f} |"
              f" {'; '.join(row['broken']) or 'none'} |")


def plot(rows, path):
    import matplotlib
    matplotlib.use("svg")
    from matplotlib import pyplot
    names = sorted({row["off"] for row in rows})
    sites = sorted({row["site"] for row in rows})
    figure, axes = pyplot.subplots(figsize=(8, 0.5 * len(names) + 1.5))
    height = 0.8 / len(sites)
    for number, site in enumerate(sites):
        at = {row["off"]: row for row in rows if row["site"] == site}
        shown = [name for name in names if name in at]
        axes.barh([names.index(name) + number * height for name in shown], [at[name]["gain"] for name in shown],
                  height, xerr=[at[name]["error"] for name in shown], label=site)
    axes.set_yticks([index + 0.4 - height / 2 for index in range(len(names))], names)
    axes.axvline(0, color="black", linewidth=0.8)
    axes.set_xlabel("worth gained by the mechanism, standard error")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)


def main():
    arguments = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    arguments.add_argument("--bench")
    arguments.add_argument("--site", action="append", default=[])
    arguments.add_argument("--day", action="append")
    arguments.add_argument("--seed", action="append", type=int)
    arguments.add_argument("--off", action="append")
    arguments.add_argument("--jobs", type=int, default=4)
    arguments.add_argument("--scratch", default="/tmp/egrettide-ablation")
    arguments.add_argument("--json")
    arguments.add_argument("--plot")
    arguments.add_argument("--from-json")
    given = arguments.parse_args()
    if given.from_json:
        plays = json.loads(pathlib.Path(given.from_json).read_text())
    else:
        if not given.bench or not given.site:
            sys.exit("name the bench and a site, or a file of plays with --from-json")
        scratch = pathlib.Path(given.scratch)
        scratch.mkdir(parents=True, exist_ok=True)
        copy = prepare(scratch, given.bench)
        plays = play_all(copy, given)
        shutil.copytree(copy / "journal", ROOT / "journal", dirs_exist_ok=True)
    if given.json:
        pathlib.Path(given.json).write_text(json.dumps(plays, indent=1) + "\n")
    rows = summarise(plays)
    print_rows(rows)
    if given.plot:
        plot(rows, given.plot)


if __name__ == "__main__":
    main()
