#!/usr/bin/env python3
"""Runs one day of a site at several multiples of its traffic and prints how it was served.

    scripts/play-load.py --bench PATH/fleetbench [--day NAME] [--factors 1,1.5,2] [--seeds 1,2,3]
                         [--work 1] [--faults none|closing|all] [--windows] [--why TEXT] SITE

The day is written to a separate day file in a scratch folder. "In use" is the fraction of the slots
that the requested work would keep busy, for the service where it is highest. Exits with 1 if a rule
was broken or a day could not be run.
"""
import argparse
import json
import pathlib
import subprocess
import sys
import tempfile
import tomllib


def toml_value(value):
    """@return the value in TOML syntax; tables inline."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{json.dumps(k)} = {toml_value(v)}" for k, v in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(toml_value(entry) for entry in value) + "]"
    return json.dumps(value)


def scaled_day(site, name, factor, faults):
    """@return the day of the site with its traffic multiplied, as TOML."""
    day = dict(next(day for day in site["day"] if day["name"] == name))
    day["traffic"] = [dict(part, per_s=part["per_s"] * factor) for part in day["traffic"]]
    if faults != "all":
        day["faults"], day["plan"] = [], []
    if faults == "none":
        day.pop("closing", None)
    return "".join(f"{key} = {toml_value(value)}\n" for key, value in day.items())


def max_utilization(site, name, factor):
    """@return the highest ratio of requested work to slots over all services."""
    classes = {entry["name"]: entry for entry in site["classes"]}
    day = next(day for day in site["day"] if day["name"] == name)
    busy = {}
    for part in day["traffic"]:
        parts = sum(part["mix"].values())
        for kind, share in part["mix"].items():
            work_s = classes[kind]["work_ms"]["mean"] / 1000
            service = classes[kind]["service"]
            busy[service] = busy.get(service, 0) + factor * part["per_s"] * share / parts * work_s
    slots = {service["name"]: service["slots"] * sum(zone["count"] for zone in service["servers"])
             for service in site["services"]}
    return max(busy[service] / slots[service] for service in busy)


def play(arguments, day_text, seed):
    """@return the bench's report of one day and its text, or None and the text."""
    with tempfile.TemporaryDirectory() as folder:
        day = pathlib.Path(folder) / "day.toml"
        day.write_text(day_text)
        report = pathlib.Path(folder) / "report.json"
        command = [arguments.bench, "run", arguments.site, str(day), "--report", str(report)]
        command += ["--why", arguments.why] + (["--seed", seed] if seed else [])
        done = subprocess.run(command, capture_output=True, text=True)
        return (json.loads(report.read_text()) if report.exists() else None), done.stdout + done.stderr


def window_rows(text):
    """@return the bench's lines of the two-second windows."""
    lines = text.split("from second", 1)[-1].splitlines()[1:]
    return lines[:lines.index("")] if "" in lines else lines


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True, help="the bench's program")
    parser.add_argument("--day", default="trouble-1", help="standard day whose traffic is scaled")
    parser.add_argument("--factors", default="1,1.5,2", help="factors of its traffic, comma-separated")
    parser.add_argument("--seeds", default="", help="seeds, comma-separated; default: the day's seed")
    parser.add_argument("--faults", default="none", choices=["none", "closing", "all"])
    parser.add_argument("--windows", action="store_true", help="print each window that lost worth")
    parser.add_argument("--why", default="Load curve", help="reason recorded in the journal")
    parser.add_argument("site")
    arguments = parser.parse_args()
    site = tomllib.loads(pathlib.Path(arguments.site).read_text())
    broken = 0
    for factor in map(float, arguments.factors.split(",")):
        for seed in arguments.seeds.split(","):
            report, text = play(arguments, scaled_day(site, arguments.day, factor, arguments.faults), seed)
            name = f"{arguments.day} x {factor:g} {seed}".strip()
            if report is None:
                print(f"{name}: not played\n{text[-2000:]}")
                broken += 1
                continue
            problems = report["breaks"] or report["fault"]
            broken += 1 if problems else 0
            rows = window_rows(text)
            figures = [sum(int(row.split()[column]) for row in rows) for column in range(1, 6)]
            asked, in_aim, late, refused, failed = figures
            print(f"{name}: in use {max_utilization(site, arguments.day, factor):.2f}, asked {asked},"
                  f" in aim {in_aim / asked:.4f}, late {late / asked:.4f}, refused {refused / asked:.4f},"
                  f" failed {failed / asked:.4f}, worth {report['G']:.3f},"
                  f" {'BROKEN ' + json.dumps(problems) if problems else 'no rule broken'}", flush=True)
            if arguments.windows:
                print("\n".join(row for row in rows if float(row.split()[7]) < 0.97))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
