#!/usr/bin/env python3
"""Plays days of a deployment with the sources before and after a change, and prints the paired differences.

    compare.py --bench PROGRAM --site SITE.toml --before TREE --after TREE --why "..."
               [--days NAME,NAME] [--seeds 1,2,3] [--no-cpu] [--jobs 6]
               [--before-set ROLE:KEY=JSON ...] [--after-set ROLE:KEY=JSON ...] [--save FILE]

A day and a seed make one pair: it is played once in each tree. The difference of a day is the mean over its
pairs, with the half width of its 95 % interval (Student's t). Worth is before it is set between a day's marks;
one mark's span is 0.45 on the deployments seen so far. --before-set and --after-set write `--set KEY=JSON` behind
the program of that role in the deploy file of their tree while the days are played, and take it away again: with
one tree on both sides that is an ablation. Each tree's runs leave their entries in its own journal folder.
"""

import argparse
import concurrent.futures
import json
import math
import pathlib
import shlex
import subprocess
import sys
import tempfile
import tomllib

# Two-sided 95 % points of Student's t, by degrees of freedom; beyond the list the normal distribution serves.
STUDENT = [12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13, 2.12, 2.11]
SMALLEST_PRICE_SHOWN = 0.0005


def mean(numbers):
    return sum(numbers) / len(numbers)


def half_width(numbers):
    """Half the 95 % interval of a mean; none for a single number."""
    count = len(numbers)
    if count < 2:
        return None
    centre = mean(numbers)
    deviation = math.sqrt(sum((number - centre) ** 2 for number in numbers) / (count - 1))
    point = STUDENT[count - 2] if count - 2 < len(STUDENT) else 1.96
    return point * deviation / math.sqrt(count)


def shown(numbers):
    width = half_width(numbers)
    return f"{mean(numbers):+.4f}" + (" (one pair)" if width is None else f" ± {width:.4f}")


class DeployFile:
    """The deploy file of a tree, with settings behind its programs while days are played."""

    def __init__(self, tree, settings):
        self.path = pathlib.Path(tree) / "deploy" / "system.toml"
        self.settings = settings
        self.original = self.path.read_text()

    def __enter__(self):
        if self.settings:
            lines = [self.with_flags(line) for line in self.original.splitlines()]
            self.path.write_text("\n".join(lines) + "\n")

    def with_flags(self, line):
        """A `run` line with the settings of its role behind it."""
        for setting in self.settings:
            role, setting = setting.split(":", 1)
            if line.startswith("run = ") and role in line.rstrip('"').split():
                line = f"{line[:-1]} --set {setting}\""
        return line

    def __exit__(self, *_):
        self.path.write_text(self.original)


def play(arguments, tree, day, seed, side):
    """Plays one day; its report, or none if it was not played."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [arguments.bench, "run", arguments.site, day, "--report", str(report),
                   "--why", f"{arguments.why} [compare: {side}, {day}, seed {seed}]"]
        if seed:
            command += ["--seed", str(seed)]
        if arguments.no_cpu:
            command.append("--no-cpu")
        done = subprocess.run(command, cwd=tree, capture_output=True, text=True)
        if not report.exists():
            print(f"not played: {shlex.join(command)}\n{done.stdout[-800:]}{done.stderr[-800:]}", file=sys.stderr)
            return None
        return json.loads(report.read_text())


def side_runs(arguments, tree, settings, side, pairs):
    with DeployFile(tree, settings):
        with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
            runs = {pair: pool.submit(play, arguments, tree, *pair, side) for pair in pairs}
            return {pair: run.result() for pair, run in runs.items()}


def both_sides(arguments, pairs):
    """Both trees' runs; side by side unless one tree serves both."""
    sides = [(arguments.before, arguments.before_set, "before"), (arguments.after, arguments.after_set, "after")]
    if arguments.before == arguments.after:
        return [side_runs(arguments, *side, pairs) for side in sides]
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        return [run.result() for run in [pool.submit(side_runs, arguments, *side, pairs) for side in sides]]


def parts_of(report):
    """Worth's parts by name; prices are negative."""
    parts = {name: value for name, _, value in report["parts"]}
    parts.update({f"price: {name}": -value for name, _, value in report["prices"]})
    return parts


def print_parts(before, after, pairs):
    names = dict.fromkeys(name for pair in pairs for name in parts_of(after[pair]))
    for name in names:
        changes = [parts_of(after[pair]).get(name, 0) - parts_of(before[pair]).get(name, 0) for pair in pairs]
        if abs(mean(changes)) >= SMALLEST_PRICE_SHOWN:
            print(f"      {name}: {shown(changes)}")


def report_days(arguments, before, after):
    marks = {day["name"]: day for day in tomllib.loads(pathlib.Path(arguments.site).read_text())["day"]}
    all_changes = []
    for day in dict.fromkeys(day for day, _ in before):
        pairs = [pair for pair in before if pair[0] == day and before[pair] and after[pair]]
        if not pairs:
            print(f"{day}: no pair was played")
            continue
        worths = [[side[pair]["G"] for pair in pairs] for side in (before, after)]
        changes = [late - early for early, late in zip(*worths)]
        all_changes += changes
        broken = [(name, pair[1], side[pair]["breaks"]) for name, side in (("before", before), ("after", after))
                  for pair in pairs if side[pair].get("breaks") or side[pair].get("fault")]
        label = pathlib.Path(day).stem
        line = f"{label}: worth {mean(worths[0]):.4f} to {mean(worths[1]):.4f}, {shown(changes)}, {len(pairs)} pairs"
        if day in marks:
            span = marks[day]["one"] - marks[day]["zero"]
            scores = [mean([min(max((worth - marks[day]["zero"]) / span, 0), 1) for worth in side]) for side in worths]
            line += f"; score {scores[0]:.3f} to {scores[1]:.3f}"
        print(line)
        print_parts(before, after, pairs)
        if broken:
            print(f"      RULES OR FAULTS: {broken}")
    if all_changes:
        print(f"all: {shown(all_changes)}, {len(all_changes)} pairs")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    for name in ("bench", "site", "before", "after", "why"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--days", default="quiet-1,trouble-1,scale-1,trouble-2,scale-2,trouble-3")
    parser.add_argument("--seeds", default="1,2,3", help="0 stands for the day's own seed")
    parser.add_argument("--no-cpu", action="store_true")
    parser.add_argument("--jobs", type=int, default=3, help="days at a time on each side")
    parser.add_argument("--before-set", nargs="*", default=[], metavar="ROLE:KEY=JSON")
    parser.add_argument("--after-set", nargs="*", default=[], metavar="ROLE:KEY=JSON")
    parser.add_argument("--save", help="a file for all reports")
    arguments = parser.parse_args()
    pairs = [(day, int(seed)) for seed in arguments.seeds.split(",") for day in arguments.days.split(",")]
    before, after = both_sides(arguments, pairs)
    if arguments.save:
        rows = [{"day": day, "seed": seed, "before": before[day, seed], "after": after[day, seed]} for day, seed in pairs]
        pathlib.Path(arguments.save).write_text(json.dumps(rows))
    report_days(arguments, before, after)


if __name__ == "__main__":
    main()
