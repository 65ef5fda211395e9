#!/usr/bin/env python3
"""Measures what each mechanism contributes on a deployment: runs the same days with it and without it.

    scripts/ablation.py --bench PROGRAM --site FILE [--site FILE]... [--day NAME]... [--seed N]...
                        [--off NAME[+NAME]]... [--jobs N] [--json FILE] [--plot FILE.svg] [--from-json FILE]

Works in a clone of this repository in the scratch directory and disables one mechanism after the
other, by `mechanismsOff` in the clone's settings (docs/OPERATIONS.md); NAME+NAME disables two
together. Every run is paired with a run of the same site, day and seed with all mechanisms on.
Runs are not charged processor time (--no-cpu), so that their results mostly repeat. Prints one
row per mechanism and site: mean worth with and without it, the difference with its standard
error, share of reads by replicas, broken rules. The clone's journal is copied into this
repository."""

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


def mechanism_names():
    schema = json.loads((ROOT / "schema/settings.schema.json").read_text())
    return schema["properties"]["mechanismsOff"]["items"]["enum"]


def clone_and_build(scratch, bench):
    """Returns a clone of the repository, built. One build serves all settings, as they are not an input of it."""
    copy = scratch / "copy"
    if not copy.exists():
        subprocess.run(["git", "clone", "-q", str(ROOT), str(copy)], check=True)
    subprocess.run([bench, "build"], cwd=copy, check=True, stdout=subprocess.DEVNULL)
    return copy


def write_settings(copy, names):
    """Writes the clone's settings with the named mechanisms disabled."""
    settings = (ROOT / "deploy/settings.json").read_text()
    changed_settings = settings.replace('"trafficThreads"',
                                        f'"mechanismsOff": {json.dumps(names)},\n  "trafficThreads"', 1)
    (copy / "deploy/settings.json").write_text(changed_settings)


def run_day(copy, bench, site, day, seed):
    """Runs one day. Returns its worth, share of reads by replicas and broken rules, or None if the bench
    reported no result."""
    command = [bench, "run", str(site), day, "--no-cpu", "--jobs", "1", "--log", "all"]
    command += ["--seed", str(seed)] if seed else []
    # The bench writes the hosts' log lines and its result to different streams; both are needed.
    out = subprocess.run(command, cwd=copy, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, errors="replace").stdout
    row = re.search(r"^%s\s+\S+\s+\S+\s+(\S+)" % re.escape(day), out, re.M)
    if not row:
        return None
    served = whatbinds.ServedTotals()
    for _, host, event in whatbinds.parse_events(out.splitlines()):
        served.add(host, event)
    total = served.total()
    reads = total["reads_by_replica"] + total["reads_by_primary"]
    broken = re.search(r"BROKEN: ([^(\n]*)", out)
    return {"worth": float(row[1]), "share": total["reads_by_replica"] / max(1, reads),
            "broken": broken[1].strip() if broken else ""}


def run_all(copy, options):
    runs = []
    for name in [""] + (options.off or mechanism_names()):
        write_settings(copy, name.split("+") if name else [])
        tasks = {}
        with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
            for site in options.site:
                for day in options.day or DAYS:
                    for seed in options.seed or [0]:
                        tasks[pathlib.Path(site).stem, day, seed] = pool.submit(
                            run_day, copy, options.bench, site, day, seed)
        for (site, day, seed), task in tasks.items():
            runs.append({"off": name, "site": site, "day": day, "seed": seed, **(task.result() or {"failed": True})})
    return runs


def summarize(runs):
    """Returns a row per disabled mechanism and site, over the pairs of runs in which both succeeded."""
    by_key = {(run["off"], run["site"], run["day"], run["seed"]): run for run in runs if "worth" in run}
    rows = []
    for name, site in sorted({(run["off"], run["site"]) for run in runs if run["off"]}):
        pairs = [(by_key["", run_site, day, seed], run) for (off, run_site, day, seed), run in by_key.items()
                 if (off, run_site) == (name, site) and ("", run_site, day, seed) in by_key]
        differences = [on["worth"] - off["worth"] for on, off in pairs]
        if not differences:
            continue
        rows.append({
            "off": name, "site": site, "plays": len(differences),
            "on": statistics.mean(on["worth"] for on, _ in pairs), "without": statistics.mean(off["worth"] for _, off in pairs),
            "gain": statistics.mean(differences),
            "error": statistics.stdev(differences) / len(differences) ** 0.5 if len(differences) > 1 else 0.0,
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
        by_key = {row["off"]: row for row in rows if row["site"] == site}
        shown = [name for name in names if name in by_key]
        axes.barh([names.index(name) + number * height for name in shown], [by_key[name]["gain"] for name in shown],
                  height, xerr=[by_key[name]["error"] for name in shown], label=site)
    axes.set_yticks([index + 0.4 - height / 2 for index in range(len(names))], names)
    axes.axvline(0, color="black", linewidth=0.8)
    axes.set_xlabel("worth gained by the mechanism, standard error")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench")
    parser.add_argument("--site", action="append", default=[])
    parser.add_argument("--day", action="append")
    parser.add_argument("--seed", action="append", type=int)
    parser.add_argument("--off", action="append")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--scratch", default="/tmp/egrettide-ablation")
    parser.add_argument("--json")
    parser.add_argument("--plot")
    parser.add_argument("--from-json")
    options = parser.parse_args()
    if options.from_json:
        runs = json.loads(pathlib.Path(options.from_json).read_text())
    else:
        if not options.bench or not options.site:
            sys.exit("--bench and --site are required, unless --from-json gives a file of runs")
        scratch = pathlib.Path(options.scratch)
        scratch.mkdir(parents=True, exist_ok=True)
        copy = clone_and_build(scratch, options.bench)
        runs = run_all(copy, options)
        shutil.copytree(copy / "journal", ROOT / "journal", dirs_exist_ok=True)
    if options.json:
        pathlib.Path(options.json).write_text(json.dumps(runs, indent=1) + "\n")
    rows = summarize(runs)
    print_rows(rows)
    if options.plot:
        plot(rows, options.plot)


if __name__ == "__main__":
    main()
