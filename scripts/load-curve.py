#!/usr/bin/env python3
"""Runs a site under loads that fill or exceed its slots, and plots the fraction of its worth served.

    scripts/load-curve.py --bench PATH/fleetbench [--loads 0.5,0.8,1,1.3,2] [--work MS] [--zones 84,24,12]
                          [--burst] [--dark] [--seconds 16] [--seeds 1] [--seed-of-day]
                          [--plot FILE.svg] [--no-cpu] [--why TEXT] SITE

A load of 1 keeps all slots of the busiest service busy. Changed copies of the site and its day are written to a
scratch folder: `--work` sets the mean work of all kinds of requests of that service, `--zones` distributes
the first service's backends over the zones, `--burst` multiplies the traffic by six for six seconds, `--dark`
ends the day with a loss of power at all balancers for 1.6 s. "bound" is what a single queue for all
slots could earn if it served the kinds with the highest worth per work first. Exits with 1 if a rule was
broken or a day could not be run.
"""
import argparse
import copy
import importlib.util
import json
import pathlib
import shutil
import subprocess
import sys
import tempfile
import tomllib

HERE = pathlib.Path(__file__).resolve().parent
SPEC = importlib.util.spec_from_file_location("play_load", HERE / "play-load.py")
PLAY_LOAD = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(PLAY_LOAD)

BURST = {"kind": "burst", "at": 5.0, "for_s": 6.0, "x": 6.0}
POWER_OFF = {"kind": "power_off_all", "down_s": 1.6}
PLOT_WIDTH, PLOT_HEIGHT, MARGIN = 640, 360, 48


def busiest_service(site, day):
    """@return the name of the service with the highest utilization of its slots, and that utilization."""
    one = {"classes": site["classes"], "day": [day], "services": site["services"]}
    shares = {}
    for service in site["services"]:
        kinds = [kind["name"] for kind in site["classes"] if kind["service"] == service["name"]]
        own = copy.deepcopy(one)
        for kind in own["classes"]:
            kind["work_ms"] = dict(kind["work_ms"], mean=kind["work_ms"]["mean"] if kind["name"] in kinds else 0)
        shares[service["name"]] = PLAY_LOAD.max_utilization(own, day["name"], 1)
    name = max(shares, key=shares.get)
    return name, shares[name]


def changed_site(arguments, site, day):
    """@return the site with the requested work and zones."""
    site = copy.deepcopy(site)
    service, _ = busiest_service(site, day)
    for kind in site["classes"]:
        if arguments.work and kind["service"] == service:
            kind["work_ms"] = dict(kind["work_ms"], mean=arguments.work, max=6 * arguments.work)
    if arguments.zones:
        counts = [int(count) for count in arguments.zones.split(",")]
        for place, count in zip(site["services"][0]["servers"], counts):
            place["count"] = count
    return site


def changed_day(arguments, site, load):
    """@return the day without faults and with traffic for the load."""
    day = copy.deepcopy(next(entry for entry in site["day"] if entry["name"] == arguments.day))
    factor = load / busiest_service(site, day)[1]
    day["traffic"] = [dict(part, per_s=part["per_s"] * factor) for part in day["traffic"]]
    day["plan"], day["faults"] = [], [BURST] if arguments.burst else []
    day["length_s"] = arguments.seconds
    day.pop("closing", None)
    if arguments.dark:
        day["closing"] = POWER_OFF
    return day


def bound(site, day):
    """@return the largest fraction of the worth that the slots can earn."""
    services = {service["name"]: service["slots"] * sum(place["count"] for place in service["servers"])
                for service in site["services"]}
    kinds = {kind["name"]: kind for kind in site["classes"]}
    asked = dict.fromkeys(kinds, 0.0)
    for part in day["traffic"]:
        parts = sum(part["mix"].values())
        for name, share in part["mix"].items():
            asked[name] += part["per_s"] * share / parts
    earned = owed = 0.0
    for name in sorted(kinds, key=lambda name: kinds[name]["work_ms"]["mean"] / kinds[name]["worth"]):
        work = kinds[name]["work_ms"]["mean"] / 1000
        served = min(asked[name], services[kinds[name]["service"]] / work)
        services[kinds[name]["service"]] -= served * work
        earned += served * kinds[name]["worth"]
        owed += asked[name] * kinds[name]["worth"]
    return earned / owed


def play(arguments, site, day, seed):
    """@return the bench's report and its text."""
    with tempfile.TemporaryDirectory() as folder:
        scratch = pathlib.Path(folder)
        given = pathlib.Path(arguments.site)
        for name in ("wire.json", given.stem + ".days"):
            shutil.copy(given.parent / name, scratch / name)
        site_file, day_file, report = scratch / given.name, scratch / "day.toml", scratch / "report.json"
        site_file.write_text("".join(f"{key} = {PLAY_LOAD.toml_value(value)}\n" for key, value in site.items()))
        day_file.write_text("".join(f"{key} = {PLAY_LOAD.toml_value(value)}\n" for key, value in day.items()))
        command = [arguments.bench, "run", str(site_file), str(day_file), "--report", str(report),
                   "--why", arguments.why]
        command += (["--seed", seed] if seed else []) + (["--no-cpu"] if arguments.no_cpu else [])
        done = subprocess.run(command, capture_output=True, text=True)
        return (json.loads(report.read_text()) if report.exists() else None), done.stdout + done.stderr


def plot(points, target):
    """Plots the served worth and the bound over the load."""
    right = max(load for load, _, _ in points) * 1.05

    def place(load, value):
        x = MARGIN + (PLOT_WIDTH - 2 * MARGIN) * load / right
        y = PLOT_HEIGHT - MARGIN - (PLOT_HEIGHT - 2 * MARGIN) * value
        return f"{x:.1f},{y:.1f}"

    def line(column, style):
        return f'<polyline fill="none" {style} points="{" ".join(place(point[0], point[column]) for point in points)}"/>'

    left, bottom = MARGIN, PLOT_HEIGHT - MARGIN
    labels = "".join(f'<text x="{place(load, 0).split(",")[0]}" y="{bottom + 16}" font-size="11">{load:g}</text>'
                     for load, _, _ in points)
    labels += "".join(f'<text x="8" y="{place(0, value).split(",")[1]}" font-size="11">{value:g}</text>'
                      for value in (0, 0.25, 0.5, 0.75, 1))
    target.write_text(
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{PLOT_WIDTH}" height="{PLOT_HEIGHT}">'
        f'<path d="M{left},{MARGIN} V{bottom} H{PLOT_WIDTH - MARGIN}" fill="none" stroke="black"/>'
        + line(1, 'stroke="#06c" stroke-width="2"') + line(2, 'stroke="#888" stroke-dasharray="5,4"') + labels
        + f'<text x="{left}" y="20" font-size="12">share of the worth served over load (dashed: bound)</text></svg>\n')


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True, help="the bench's program")
    parser.add_argument("--day", default="scale-1", help="standard day whose traffic is used")
    parser.add_argument("--loads", default="0.5,0.8,1,1.3,2", help="loads as fractions of the slots, comma-separated")
    parser.add_argument("--work", type=float, default=0, help="mean work of a request [ms]")
    parser.add_argument("--zones", default="", help="backends of the first service by zone, comma-separated")
    parser.add_argument("--burst", action="store_true", help="six times the traffic for six seconds")
    parser.add_argument("--dark", action="store_true", help="all balancers lose power at the end for 1.6 s")
    parser.add_argument("--seconds", type=float, default=16, help="length of the day")
    parser.add_argument("--seeds", default="", help="seeds, comma-separated; default: the day's seed")
    parser.add_argument("--plot", help="file for the plot")
    parser.add_argument("--no-cpu", action="store_true", help="charge no CPU time")
    parser.add_argument("--why", default="Load curve", help="reason recorded in the journal")
    parser.add_argument("site")
    arguments = parser.parse_args()
    given = tomllib.loads(pathlib.Path(arguments.site).read_text())
    given_day = next(day for day in given["day"] if day["name"] == arguments.day)
    site = changed_site(arguments, given, given_day)
    points, broken = [], 0
    for load in map(float, arguments.loads.split(",")):
        day = changed_day(arguments, site, load)
        for seed in arguments.seeds.split(","):
            report, text = play(arguments, site, day, seed)
            if report is None:
                print(f"load {load:g}: not played\n{text[-2000:]}")
                broken += 1
                continue
            broken += 1 if report["breaks"] or report["fault"] else 0
            rows = PLAY_LOAD.window_rows(text)
            asked, in_aim, late, refused, failed = (sum(int(row.split()[column]) for row in rows) for column in range(1, 6))
            print(f"load {load:g}: worth {report['G']:.3f}, served {report['served']:.3f}, bound {bound(site, day):.3f},"
                  f" in aim {in_aim / asked:.3f}, late {late / asked:.3f}, rejected {refused / asked:.3f},"
                  f" failed {failed / asked:.3f}, classes {report['by_class']}, zones {report['by_zone']},"
                  f" {'BROKEN ' + json.dumps(report['breaks'] or report['fault']) if report['breaks'] or report['fault'] else 'no rule broken'}",
                  flush=True)
            points.append((load, report["served"], bound(site, day)))
    if arguments.plot and points:
        plot(points, pathlib.Path(arguments.plot))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
