#!/usr/bin/env python3
"""Runs every day file of deploy/days on each given site and prints the broken rules.

    scripts/play-days.py --bench PATH/fleetbench [--seeds 1,2,3] [--why TEXT] SITE...

Exits with 1 if a rule was broken or a day could not be run.
"""
import argparse
import json
import pathlib
import subprocess
import sys
import tempfile

DAYS = pathlib.Path(__file__).resolve().parent.parent / "deploy" / "days"


def play(bench, site, day, seed, why):
    """@return the bench's report of one day, or None if it could not be run."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [bench, "run", site, str(day), "--report", str(report), "--why", why]
        if seed:
            command += ["--seed", seed]
        done = subprocess.run(command, capture_output=True, text=True)
        if not report.exists():
            print(done.stdout[-2000:], done.stderr[-2000:])
            return None
        return json.loads(report.read_text())


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True, help="the bench's program")
    parser.add_argument("--seeds", default="", help="seeds, comma-separated; default: each day's seed")
    parser.add_argument("--why", default="The days of deploy/days", help="reason recorded in the journal")
    parser.add_argument("sites", nargs="+")
    arguments = parser.parse_args()
    broken = 0
    for site in arguments.sites:
        for day in sorted(DAYS.glob("*.toml")):
            for seed in arguments.seeds.split(","):
                report = play(arguments.bench, site, day, seed, arguments.why)
                name = f"{pathlib.Path(site).stem} {day.stem} {seed}".strip()
                if report is None:
                    print(f"{name}: not played")
                    broken += 1
                    continue
                problems = report["breaks"] or report["fault"]
                broken += 1 if problems else 0
                print(f"{name}: served {report['served']:.4f}, worth {report['G']:.3f},"
                      f" {'BROKEN ' + json.dumps(problems) if problems else 'no rule broken'}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
