"""Digests of simulated runs: proof that a change of names or shape changes no decision.

    python benchmarks/digests.py --write FILE     # before a change
    python benchmarks/digests.py --compare FILE   # after it; exits with 1 where a digest differs

Each scenario is played in virtual time for the same length by each seed. Equal digests mean equal records, byte for
byte. Scenarios that cannot be simulated, or that would take minutes, are left out and named.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

SCENARIOS = Path(__file__).parent.parent / "rosewheel" / "lab" / "scenarios"
TOO_LARGE = frozenset({"at-size"})  # half an hour for one run of 60 s
BAD_INPUT = 2  # exit code of the command for a scenario that it refuses


def digest(scenario: str, seed: int, seconds: float) -> str:
    """The digest of one run's records; "not simulated" where the scenario needs real sockets.

    A scenario with a fault later than `seconds` is played at its own length.
    """
    command = [sys.executable, "-m", "rosewheel.cli", "simulate", scenario, "--seed", str(seed)]
    for length in (["--seconds", str(seconds)], []):
        run = subprocess.run([*command, *length], capture_output=True, text=True, check=False)
        if run.returncode != BAD_INPUT:
            return str(json.loads(run.stdout.splitlines()[-1])["digest"])
    return "not simulated"


def main() -> int:
    """Play every scenario; write the digests or compare them with those of a file."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    target = parser.add_mutually_exclusive_group(required=True)
    target.add_argument("--write", type=Path, metavar="FILE")
    target.add_argument("--compare", type=Path, metavar="FILE")
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2])
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("scenarios", nargs="*", help="names; all but the largest where none is given")
    arguments = parser.parse_args()
    names = arguments.scenarios or sorted(path.stem for path in SCENARIOS.glob("*.toml"))
    runs = [(name, seed) for name in names if name not in TOO_LARGE for seed in arguments.seeds]
    spawn = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(arguments.jobs, mp_context=spawn) as pool:
        digests = pool.map(
            digest,
            [name for name, _ in runs],
            [seed for _, seed in runs],
            [arguments.seconds] * len(runs),
        )
        found = {f"{name} seed {seed}": value for (name, seed), value in zip(runs, digests, strict=True)}
    if arguments.write:
        arguments.write.write_text(json.dumps(found, indent=1) + "\n", encoding="utf-8")
        print(f"{len(found)} digests written")
        return 0
    before = json.loads(arguments.compare.read_text(encoding="utf-8"))
    differing = [key for key, value in found.items() if before.get(key) != value]
    for key in differing:
        print(f"{key}: {before.get(key)} before, {found[key]} now")
    print(f"{len(found) - len(differing)} digests equal, {len(differing)} different")
    return 1 if differing else 0


if __name__ == "__main__":
    sys.exit(main())
