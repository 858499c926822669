"""What `meta/measure-agents` found (docs/measurements/agents.json): the bytes
of the peer exchange and times in force, which are not measured again here."""
import json

from .sweep import FOLDER


class AgentFigures:
    """Figures of the file; None for each where there is none."""

    def __init__(self):
        path = FOLDER / "agents.json"
        content = json.loads(path.read_text()) if path.exists() else {}
        self.in_force = content.get("in_force_on_6_agents", {})
        self.idle = content.get("idle", [])

    def of_largest_fleet(self, name):
        """A figure of an idle agent in the largest fleet measured."""
        if not self.idle:
            return None
        return max(self.idle, key=lambda row: row["agents"])[name]

    def worst_ms(self, case):
        """The longest time to in force of a case, over changes and agents."""
        found = self.in_force.get(case)
        return None if found is None else found["worst_ms"]
