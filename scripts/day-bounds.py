#!/usr/bin/env python3
"""Computes the best score that any balancer could reach on a site's days, next to the measured one.

    scripts/day-bounds.py SITE JOURNAL-ENTRY

SITE is a site file, JOURNAL-ENTRY the journal's file of a `score` run on it. While all machines are
without power or all processes are killed at the end of a day, a request can only be served by a
retransmission that its client sends later, at the times given by the users' page on packets. Each
kind of request is assumed to have its mean work and an empty queue, so the bound is slightly too
high. Prices are assumed as charged, since they hardly depend on decisions.
"""
import argparse
import json
import pathlib
import tomllib

# Times of the users' page on packets [s].
OPENING_SEND_TIMES_S = (0.0, 0.2, 0.6)
OPENING_TIMEOUT_S = 1.4
DATA_SEND_TIMES_S = (0.0, 0.2, 0.6, 1.4)
WINDOW_S = 2.0
# From the kill of a process to its next start, as the bench reports it for single kills [s].
RESTART_S = 0.5
# From a machine's return to its first forwarded packet, according to its logs [s].
START_UP_S = 0.05
STEP_S = 0.005


def send_times(kind):
    """@return the times at which a client sends a request's first packet, from its first [s]."""
    if kind.get("habit") != "fresh":
        return DATA_SEND_TIMES_S
    tries = range(1 + kind["retries"])
    return [attempt * OPENING_TIMEOUT_S + send_time for attempt in tries for send_time in OPENING_SEND_TIMES_S]


def credit(kind, waited, client_delay):
    """@return the fraction of its worth that a request earns if its first packet is received after `waited`."""
    round_trips = 2 if kind.get("habit") == "fresh" else 1
    took_ms = 1000 * (waited + round_trips * 2 * client_delay) + kind["work_ms"]["mean"]
    if took_ms <= kind["aim_ms"]:
        return 1.0
    return kind["late_worth"] / kind["worth"] if took_ms <= kind["deadline_ms"] else 0.0


def lost_seconds(kind, outage, client_delay):
    """@return the seconds' worth of requests of a kind that is lost around an outage of all balancers."""
    lost = 0.0
    sent = 0.0
    while sent < outage:
        through = [send_time for send_time in send_times(kind) if sent + send_time >= outage]
        lost += STEP_S * (1 - (credit(kind, through[0], client_delay) if through else 0))
        sent += STEP_S
    return lost


def fractions_by_kind(site, day):
    """@return each kind's fraction of the day's worth."""
    kinds = {kind["name"]: kind for kind in site["classes"]}
    fractions = dict.fromkeys(kinds, 0.0)
    for part in day["traffic"]:
        total = sum(part["mix"].values())
        for name, mix in part["mix"].items():
            fractions[name] += part["per_s"] * mix / total * kinds[name]["worth"]
    whole = sum(fractions.values())
    return {name: share / whole for name, share in fractions.items()}


def outage_seconds(day):
    """@return the time for which no machine forwards at the end of a day [s]."""
    if "closing" not in day:
        return 0.0
    closing = day["closing"]
    return START_UP_S + (RESTART_S if closing["kind"] == "kill_all" else closing["down_s"])


def bounds_of(site, day):
    """@return the best value of each part of the day's credit."""
    outage = outage_seconds(day)
    kinds = {kind["name"]: kind for kind in site["classes"]}
    lost = {name: lost_seconds(kind, outage, site["net"]["client_ms"] / 1000)
            for name, kind in kinds.items()}
    fractions = fractions_by_kind(site, day)
    total_lost = sum(fractions[name] * lost[name] for name in kinds)
    length = site["length_s"] + (site["bounds"]["recover_s"] + 5 if outage else 0)
    whole = 1 - total_lost / length
    return {"whole day": whole, "worst zone": whole,
            "worst windows": 1 - total_lost / WINDOW_S / 2,
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
    for run in entry["days"]:
        if run["name"] not in days:
            continue
        day = days[run["name"]]
        bounds = bounds_of(site, day)
        prices = sum(price for _, _, price in run["prices"])
        best = sum(weight * bounds[part] for part, weight, _ in run["parts"]) - prices
        windows = {part: value for part, _, value in run["parts"]}["worst windows"]
        print(f"| {run['name']} | {outage_seconds(day):.2f} | {windows:.3f} | {bounds['worst windows']:.3f}"
              f" | {run['G']:.3f} | {best:.3f} | {run['G'] / best:.3f} |")


if __name__ == "__main__":
    main()
