#!/usr/bin/env python3
"""Works out what no balancer could have served on a site's days, and puts a score beside it.

    scripts/day-bounds.py SITE JOURNAL-ENTRY

SITE is a site file, JOURNAL-ENTRY the journal's file of a `score` run on it. While all machines are
without power or all processes are killed at the end of a day, a request can only be served by a copy
that its client sends later, at the times that the users' page on packets gives. Each kind of request
is taken with its mean work and an empty queue, so the bound is a little too high. Prices are taken
as paid, since they hardly depend on decisions.
"""
import argparse
import json
import pathlib
import tomllib

# Of the users' page on packets [s].
OPENING_COPIES = (0.0, 0.2, 0.6)
OPENING_GIVES_UP = 1.4
DATA_COPIES = (0.0, 0.2, 0.6, 1.4)
WINDOW = 2.0
# From the kill of a process to its next start, as the bench tells it of single kills [s].
RESTART = 0.5
# From a machine's return to its first forwarded packet, as seen in its logs [s].
START_UP = 0.05
STEP = 0.005


def copies_of(kind):
    """@return the times at which a client sends a request's first packet, from its first [s]."""
    if kind.get("habit") != "fresh":
        return DATA_COPIES
    tries = range(1 + kind["retries"])
    return [attempt * OPENING_GIVES_UP + copy for attempt in tries for copy in OPENING_COPIES]


def credit(kind, waited, client_way):
    """@return the part of its worth that a request earns whose first packet gets through then."""
    round_trips = 2 if kind.get("habit") == "fresh" else 1
    took_ms = 1000 * (waited + round_trips * 2 * client_way) + kind["work_ms"]["mean"]
    if took_ms <= kind["aim_ms"]:
        return 1.0
    return kind["late_worth"] / kind["worth"] if took_ms <= kind["deadline_ms"] else 0.0


def lost_seconds(kind, dark, client_way):
    """@return the seconds' worth of requests of a kind that is lost around a dark time."""
    lost = 0.0
    sent = 0.0
    while sent < dark:
        through = [copy for copy in copies_of(kind) if sent + copy >= dark]
        lost += STEP * (1 - (credit(kind, through[0], client_way) if through else 0))
        sent += STEP
    return lost


def shares_by_kind(site, day):
    """@return each kind's share of the day's worth."""
    kinds = {kind["name"]: kind for kind in site["classes"]}
    shares = dict.fromkeys(kinds, 0.0)
    for part in day["traffic"]:
        total = sum(part["mix"].values())
        for name, mix in part["mix"].items():
            shares[name] += part["per_s"] * mix / total * kinds[name]["worth"]
    whole = sum(shares.values())
    return {name: share / whole for name, share in shares.items()}


def dark_seconds(day):
    """@return the time for which no machine forwards at the end of a day [s]."""
    if "closing" not in day:
        return 0.0
    closing = day["closing"]
    return START_UP + (RESTART if closing["kind"] == "kill_all" else closing["down_s"])


def bounds_of(site, day):
    """@return the best value of each part of the day's credit."""
    dark = dark_seconds(day)
    kinds = {kind["name"]: kind for kind in site["classes"]}
    lost = {name: lost_seconds(kind, dark, site["net"]["client_ms"] / 1000)
            for name, kind in kinds.items()}
    shares = shares_by_kind(site, day)
    lost_of_all = sum(shares[name] * lost[name] for name in kinds)
    length = site["length_s"] + (site["bounds"]["recover_s"] + 5 if dark else 0)
    whole = 1 - lost_of_all / length
    return {"whole day": whole, "worst zone": whole,
            "worst windows": 1 - lost_of_all / WINDOW / 2,
            "worst class": 1 - max(lost.values()) / length}


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site")
    parser.add_argument("entry")
    arguments = parser.parse_args()
    site = tomllib.loads(pathlib.Path(arguments.site).read_text())
    days = {day["name"]: day for day in site["day"]}
    entry = json.loads(pathlib.Path(arguments.entry).read_text())
    print("| day | dark s | worst windows | bound | worth | bound | share of the bound |")
    print("|---|---|---|---|---|---|---|")
    for played in entry["days"]:
        if played["name"] not in days:
            continue
        day = days[played["name"]]
        bounds = bounds_of(site, day)
        prices = sum(price for _, _, price in played["prices"])
        best = sum(weight * bounds[part] for part, weight, _ in played["parts"]) - prices
        windows = {part: value for part, _, value in played["parts"]}["worst windows"]
        print(f"| {played['name']} | {dark_seconds(day):.2f} | {windows:.3f} | {bounds['worst windows']:.3f}"
              f" | {played['G']:.3f} | {best:.3f} | {played['G'] / best:.3f} |")


if __name__ == "__main__":
    main()
