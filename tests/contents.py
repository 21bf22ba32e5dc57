"""Contents of versions for tests of replication."""

from marlseam.cluster.replication import delta
from marlseam.cluster.replication.content import FORMAT, Content, digest, write
from marlseam.experiment.config_change_workload import change_one_team, team_quotas


def make_content(number: int = 1, before: str = "", **fields: object) -> Content:
    """Return the content of a version; `before` is the id of the previous content."""
    values = {"voters": list("abc"), "why": "w", "by": "a", "settings": {"x": number}} | fields
    return Content(FORMAT, number, before, **values)


def write_content(content: Content) -> tuple[bytes, delta.Document]:
    """Return a content as bytes and as a document."""
    data = write(content)
    return data, delta.decode_document(data)


def chained_contents(count: int, teams: int = 60) -> list[bytes]:
    """Return the bytes of successive contents, each of which changes the quota of one team."""
    settings: dict[str, object] = {"teams": team_quotas(teams)}
    found: list[bytes] = []
    for number in range(1, count + 1):
        before = digest(found[-1]) if found else ""
        found.append(write(make_content(number, before, settings=settings)))
        settings = change_one_team(settings, 5, number)
    return found
