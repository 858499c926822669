"""Which version of the route table each host serves, from its answers."""

import asyncio
import dataclasses

from soak_parts import http11
from soak_parts.table import route

# The bounds of the platform's rules on its configuration.
APPLY_SECONDS = 2.0
CONTACT_SECONDS = 3.0
# So many versions hold the route and the key that one of them added.
VERSIONS_KEPT = 2
ASKED_SECONDS = 0.25
ANSWER_LIMIT = 4.0
# Of the versions whose route and key are asked for.
ASKED_BACK = 5
STEADY_KEY = "k1"
STEADY_PATH = "plain"


@dataclasses.dataclass
class Version:
    """One version of the table, and since when the store has it."""

    number: int
    names: tuple
    sent_at: float
    acknowledged_at: float

    def allows(self, path, key):
        """Whether it has the route, and the key on it."""
        return (path == STEADY_PATH or path in self.names,
                key == STEADY_KEY or key in self.names)

    def explains(self, status, path, key):
        """Whether a host that has it in force answers so."""
        has_route, has_key = self.allows(path, key)
        if status == 404:
            return not has_route
        if status == 401:
            return has_route and not has_key
        return has_route and has_key


class Catalogue:
    """The versions that the operator wrote."""

    def __init__(self, clock):
        self.clock = clock
        self.versions = []

    def extend(self, number, table):
        """Adds a route and a key of its own to a version and remembers it."""
        kept = [each.names[-1] for each in self.versions[1 - VERSIONS_KEPT:]]
        names = (*kept, f"added{number}")
        table["routes"] += [route(name, f"/{name}/", "plain")
                            for name in names]
        table["tenants"].append({"name": "added", "api_keys": list(names)})
        now = self.clock()
        self.versions.append(Version(number, names, now, now))

    def lost(self, numbers):
        """The store lost these until they are written again."""
        self._acknowledge(numbers, float("inf"))

    def written_again(self, numbers):
        """The store has these again."""
        self._acknowledge(numbers, self.clock())

    def _acknowledge(self, numbers, moment):
        for version in self.versions:
            if version.number in numbers:
                version.acknowledged_at = moment

    def due(self, moment):
        """The newest version that was acknowledged by then."""
        return max((version.number for version in self.versions
                    if version.acknowledged_at <= moment), default=0)


class Prober:
    """Asks one host for what was just added and dropped."""

    def __init__(self, world, host):
        self.world = world
        self.host = host
        self.rng = world.random(f"prober {host.name}")
        self.is_done = False
        self.checked_in_touch = 0
        self._count = 0
        self._life = None
        self._seen = 0
        self._streams = None

    async def run(self):
        while not self.is_done:
            for path, key in self._questions():
                await self._ask(path, key)
            await asyncio.sleep(ASKED_SECONDS)

    def _questions(self):
        names = [version.names[-1] for version
                 in self.world.catalogue.versions[-ASKED_BACK:]]
        newest, other = names[-1], self.rng.choice(names)
        return ((newest, STEADY_KEY), (STEADY_PATH, newest),
                (other, STEADY_KEY), (STEADY_PATH, other))

    def _bound(self, sent_at):
        """The moment of which the acknowledged versions are in force for a
        request; None unless the host is in touch.

        A suspension excuses nothing: what is sent meanwhile is handled after
        it, by what holds then.
        """
        suspension = self.host.last_suspension()
        calm = self.host.calm_seconds()
        if suspension:
            calm = self.world.clock() - suspension.calm_since
            if suspension.began_at < sent_at < suspension.ended_at:
                sent_at = suspension.ended_at
        is_in_touch = min(calm, self.host.store.calm_seconds(),
                          self.world.store.calm_seconds()) > CONTACT_SECONDS
        return sent_at - APPLY_SECONDS if is_in_touch else None

    async def _ask(self, path, key):
        sent_at = self.world.clock()
        life = self.host.life
        try:
            status = await asyncio.wait_for(
                self._exchange(path, key), ANSWER_LIMIT)
        except (OSError, http11.Broken, asyncio.TimeoutError):
            self._drop()
            return
        # A rejection says nothing of the version.
        if status != 503 and life is self.host.life:
            self._judge(life, sent_at, status, path, key)

    def _judge(self, life, sent_at, status, path, key):
        if life is not self._life:
            self._life, self._seen = life, 0
        catalogue = self.world.catalogue
        possible = [version.number for version in catalogue.versions
                    if version.explains(status, path, key)]
        what = (f"{self._attempt()}: {self.host.name} answered {status} to "
                f"{path} with {key} sent at {sent_at:.3f}, as {possible[-9:]} "
                "allow")
        check = self.world.ledger.check
        later = [number for number in possible if number >= self._seen]
        check("never goes back", later, f"{what}; it had {self._seen}")
        bound = self._bound(sent_at)
        if bound is not None:
            self.checked_in_touch += 1
            due = catalogue.due(bound)
            check("in force in time", [number for number in possible
                                       if number >= due],
                  f"{what}; {due} was due")
        self._seen = min(later, default=self._seen)

    def _attempt(self):
        return f"s{self.world.seed}{self.host.name}p-{self._count}"

    async def _exchange(self, path, key):
        if self._streams is None:
            self._streams = await asyncio.open_connection(
                "127.0.0.1", self.host.callers)
        reader, writer = self._streams
        self._count += 1
        attempt = self._attempt()
        self.world.ledger.sent[attempt] = b""
        self.world.ledger.hosts[attempt] = self.host
        writer.write(http11.head(f"GET /{path}/x HTTP/1.1", {
            "Host": "soak.example",
            "X-Godwitworks-Attempt-Id": attempt,
            "X-Godwitworks-Deadline-Ms": int(ANSWER_LIMIT * 500),
            "Authorization": f"Bearer {key}"}))
        line, fields = await http11.read_head(reader)
        await http11.read_body(reader, fields)
        if fields.get("connection", "").lower() == "close":
            self._drop()
        return int(line.split(" ")[1])

    def _drop(self):
        if self._streams is not None:
            self._streams[1].transport.abort()
        self._streams = None
