"""Voting on versions and publishing them."""

import pytest
from replicas import make_content, make_replica, status_response

from marlseam.cluster.audit_log import RecoveredLog, VotesExcluded
from marlseam.cluster.replication.content import digest, write
from marlseam.cluster.replication.effects import Persist, SendMessage
from marlseam.cluster.replication.messages import VoteMessage


def sent_messages(effects):
    return [effect.message for effect in effects if type(effect) is SendMessage]


def test_a_voter_refuses_a_content_that_fails_its_check_and_the_number_stays_free():
    voter = make_replica("b", check=lambda _content: "aimUs: -1, expected a number")
    operator = make_replica("a")
    data = write(make_content())
    operator.publish(0.0, data)
    accept = VoteMessage("accept", 1, 1, "a/1", value=digest(data))
    voter.store.contents[digest(data)] = data
    (refusal,) = [effect.message for effect in voter.voter.receive_request(0.0, "a", accept)]
    assert refusal.kind == "refused"
    assert "aimUs" in refusal.why
    for name in "bc":
        operator.publisher.receive_vote(0.0, name, refusal)
    assert operator.publisher.result.startswith("refused by too many voters for a quorum: ")
    assert operator.number == 0
    assert voter.voter.acceptor.promises == {}


def test_a_voter_without_its_memory_votes_only_above_what_it_may_have_promised():
    replica = make_replica("a", RecoveredLog(votes_excluded_up_to=None))
    assert not replica.voter.may_vote(1)
    assert replica.voter.receive_request(0.0, "b", VoteMessage("prepare", 1, 1, "b/1")) == []
    assert not replica.send_status(0.0, "b", 1)[0].message.votes
    replica.tick(0.0)
    replica.receive_status(1.0, "b", status_response(1, top=4))
    assert replica.voter.votes_excluded_up_to is None
    persist = replica.receive_status(1.0, "c", status_response(1, top=3))[-1]
    assert persist.records == (VotesExcluded(5),)
    replica.persisted(2.0, persist.token)
    assert replica.voter.votes_excluded_up_to == 5
    assert not replica.voter.may_vote(5)
    assert replica.voter.may_vote(6)


def test_a_refused_round_sends_nothing_until_the_next_begins():
    # Guards against a content that is sent again under the later ballot, and chosen in addition to another.
    operator = make_replica("d", voters="abc")
    data = write(make_content())
    operator.publish(0.0, data)
    for name in "ab":
        operator.publisher.receive_vote(0.0, name, VoteMessage("promise", 1, 1, "d/1"))
    operator.publisher.receive_vote(0.0, "c", VoteMessage("refused", 1, 1, "d/1", 5, "z/1"))
    operator.tick(1.0)
    messages = sent_messages(operator.publisher.progress(2.0))
    assert not [message for message in messages if type(message) is VoteMessage]
    messages = sent_messages(operator.publisher.progress(10000.0))
    assert {(vote.kind, vote.round) for vote in messages} == {("prepare", 6)}


def test_publishing_is_refused_as_busy_while_a_chosen_version_is_being_written():
    # Guards against a second publication for the same number, which voters that hold it do not vote on.
    operator, data = make_replica("d"), write(make_content())
    operator.publish(0.0, data)
    for kind in ("promise", "accepted"):
        for name in "ab":
            vote = VoteMessage(kind, 1, 1, "d/1", value=digest(data) if kind == "accepted" else "")
            effects = operator.publisher.receive_vote(0.0, name, vote)
    persist = next(effect for effect in effects if type(effect) is Persist)
    assert operator.publisher.publication is None
    assert operator.number == 0
    assert operator.publisher.result.startswith("version 1 is")
    following = make_content(settings={"x": 2})
    assert operator.publish(1.0, write(following)) == []
    assert operator.publisher.busy_reason() == "busy: version 1 is being written on this node"
    assert operator.publisher.publication is None
    # The client that published version 1 may not have read its result yet.
    assert operator.publisher.result.startswith("version 1 is")
    operator.persisted(2.0, persist.token)
    following = make_content(2, operator.content_id)
    operator.publish(3.0, write(following))
    assert operator.publisher.result == "open"
    assert operator.publisher.publication.proposer.number == 2
    assert operator.publisher.busy_reason() == "busy: a publication is in progress on this node"


@pytest.mark.parametrize(
    ("is_own", "number", "result"),
    [(True, 1, "version 1 is"), (False, 1, "superseded"), (False, 2, "not known")],
)
def test_a_publication_ends_as_soon_as_its_number_is_held(is_own, number, result):
    # Guards against a publication that blocks the next one: voters no longer vote on its number.
    operator, data = make_replica("a"), write(make_content())
    operator.publish(0.0, data)
    other = data if is_own else write(make_content(number, settings={"x": 9}))
    operator.store.contents[digest(other)] = other
    persist = operator.receive_status(1.0, "b", status_response(0, number=number, id=digest(other)))[-1]
    assert operator.publisher.result == "open"
    operator.persisted(2.0, persist.token)
    assert operator.publisher.publication is None
    assert operator.publisher.result.startswith(result)
    following = make_content(number + 1, operator.content_id)
    operator.publish(3.0, write(following))
    assert operator.publisher.result == "open"
    assert operator.publisher.publication.proposer.number == number + 1


def test_a_repeated_request_is_answered_only_once_the_promise_is_durable():
    replica = make_replica("b")
    prepare = VoteMessage("prepare", 1, 1, "a/1")
    (persist,) = replica.voter.receive_request(0.0, "a", prepare)
    assert replica.voter.receive_request(0.0, "a", prepare) == []
    assert [type(effect) for effect in replica.persisted(1.0, persist.token)] == [SendMessage]
    assert [type(effect) for effect in replica.voter.receive_request(1.0, "a", prepare)] == [SendMessage]
