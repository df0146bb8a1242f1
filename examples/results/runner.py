"""The results service: a task holds a ward's booth tallies, its result is the ward's standings."""

import sys
from collections import Counter
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))

from runnerserver import BadTaskError, serve_forever


def ward_standings(task: dict[str, Any]) -> dict[str, Any]:
    """Return the candidates of a ward by votes; equal ones by name."""
    votes: Counter[str] = Counter()
    booths: set[str] = set()
    for tally in task["booths"]:
        if tally["booth"] in booths:
            raise BadTaskError(f"booth {tally['booth']} stands twice")
        booths.add(tally["booth"])
        for candidate, count in tally["votes"].items():
            if not isinstance(count, int) or count < 0:
                raise BadTaskError(f"votes of {candidate} must be a number from 0")
            votes[candidate] += count
    ranked = sorted(votes.items(), key=lambda item: (-item[1], item[0]))
    standings = [{"candidate": name, "votes": count} for name, count in ranked]
    return {"ward": task["ward"], "booths": len(booths), "standings": standings}


if __name__ == "__main__":
    serve_forever(ward_standings)
