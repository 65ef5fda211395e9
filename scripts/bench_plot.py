"""Draws the plots of docs/MEASUREMENTS.md as SVG files, from records that scripts/bench wrote with --json.

  python3 scripts/bench_plot.py timeline OUT.svg LABEL=FILE:SCENARIO ...
  python3 scripts/bench_plot.py share OUT.svg FILE ...
"""

import json
import sys

WIDTH, HEIGHT, LEFT, BOTTOM, TOP, RIGHT = 720, 340, 60, 50, 20, 170
COLOURS = ("#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#d68910")


def line_chart(title_x, title_y, series, max_y):
    """Returns an SVG line chart; `series` is [(label, [(x, y)])], and the y axis ends at `max_y`."""
    max_x = max(x for _, points in series for x, _ in points) or 1
    width, height = WIDTH - LEFT - RIGHT, HEIGHT - TOP - BOTTOM

    def point(x, y):
        return f"{LEFT + width * x / max_x:.1f},{TOP + height * (1 - y / max_y):.1f}"

    out = [f'<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {WIDTH} {HEIGHT}" font-family="sans-serif" font-size="12">',
           f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>']
    for step in range(6):
        y, x = max_y * step / 5, max_x * step / 5
        tick_y, tick_x = TOP + height * (1 - step / 5), LEFT + width * step / 5
        out.append(f'<line x1="{LEFT}" y1="{tick_y:.1f}" x2="{LEFT + width}" y2="{tick_y:.1f}" stroke="#ddd"/>')
        out.append(f'<text x="{LEFT - 6}" y="{tick_y + 4:.1f}" text-anchor="end">{y:g}</text>')
        out.append(f'<text x="{tick_x:.1f}" y="{TOP + height + 16}" text-anchor="middle">{x:g}</text>')
    for number, (label, points) in enumerate(series):
        colour = COLOURS[number % len(COLOURS)]
        out.append(f'<polyline fill="none" stroke="{colour}" stroke-width="2" points="{" ".join(point(x, y) for x, y in points)}"/>')
        out.append(f'<text x="{WIDTH - RIGHT + 10}" y="{TOP + 16 * (number + 1)}" fill="{colour}">{label}</text>')
    out.append(f'<text x="{LEFT + width / 2}" y="{HEIGHT - 10}" text-anchor="middle">{title_x}</text>')
    out.append(f'<text x="14" y="{TOP + height / 2}" text-anchor="middle" transform="rotate(-90 14 {TOP + height / 2})">{title_y}</text>')
    return "\n".join(out + ["</svg>", ""])


def read_outcomes(path):
    with open(path) as file:
        return json.load(file)["outcomes"]


def timeline(specifications):
    """Plots the writes completed in every 100 ms of the first run; each specification is LABEL=FILE:SCENARIO."""
    series = []
    for specification in specifications:
        label, source = specification.split("=", 1)
        path, scenario = source.rsplit(":", 1)
        outcome = next(outcome for outcome in read_outcomes(path) if outcome["scenario"] == scenario)
        counts = outcome["records"][0]["writes_done_per_100ms"]
        series.append((label, [(step / 10, count) for step, count in enumerate(counts[:-1])]))
    return line_chart("seconds into the run", "writes done per 100 ms", series, max(y for _, p in series for _, y in p))


def share(paths):
    """Plots the share of reads by replicas against the replicas' lag, with one line per policy."""
    points = {}
    for path in paths:
        for outcome in read_outcomes(path):
            for record in outcome["records"]:
                points.setdefault(record["policy"], []).append((record["lag_ms"], 100 * record["replica_share"]))
    return line_chart("replica lag, ms", "reads by replicas, %",
                      [(policy, sorted(line)) for policy, line in points.items()], 100)


def main():
    kind, out, arguments = sys.argv[1], sys.argv[2], sys.argv[3:]
    with open(out, "w") as file:
        file.write(timeline(arguments) if kind == "timeline" else share(arguments))


if __name__ == "__main__":
    main()
