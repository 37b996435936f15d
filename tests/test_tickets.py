"""Test the reading of ticket files, and their errors."""

import pytest

from egretworks.exceptions import TicketInvalid
from egretworks.tickets import read_ticket

VALID_TICKET = """
title = "t"
[[services]]
name = "ledger"
[[routes]]
name = "r"
service = "ledger"
match = { path_prefix = "/x" }
"""


def read(tmp_path, text, suffix="toml"):
    path = tmp_path / f"ticket.{suffix}"
    path.write_text(text)
    return read_ticket(path)


def test_a_route_is_once_only_by_default(tmp_path):
    assert read(tmp_path, VALID_TICKET).routes[0].repeat.value == "once"


def test_a_json_file_is_read(tmp_path):
    text = '{"title": "t", "services": [{"name": "ledger"}]}'
    assert read(tmp_path, text, "json").services[0].name == "ledger"


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (('name = "r"', 'name = "r"\ncolour = 1'), "unknown field `colour` - at `$.routes[0]`"),
        (('name = "r"', 'name = "r"\ntimeout_ms = 0'), "$.routes[0].timeout_ms"),
        (('name = "ledger"\n[[r', 'name = "Ledger!"\n[[r'), "$.services[0].name"),
        (('path_prefix = "/x"', 'path_prefix = "x"'), "$.routes[0].match.path_prefix"),
        (('title = "t"', 'title = "t'), "line 2"),
        (('title = "t"', ""), "missing required field `title`"),
        (('[[routes]]\nname = "r"', '[[services]]\nname = "ledger"'), "services"),
        (('name = "ledger"\n[[r', 'name = "ledger"\nbalance = "dice"\n[[r'), "services[0].balance"),
    ],
)
def test_an_error_names_the_file_and_the_field(tmp_path, change, expected):
    with pytest.raises(TicketInvalid) as raised:
        read(tmp_path, VALID_TICKET.replace(*change))
    assert "ticket.toml" in raised.value.message
    assert expected in raised.value.message


def test_a_resource_that_appears_twice_is_refused(tmp_path):
    with pytest.raises(TicketInvalid, match="'ledger' appears in the ticket more than once"):
        read(tmp_path, VALID_TICKET + '[remove]\nservices = ["ledger"]\n')


def test_a_ticket_that_changes_nothing_is_refused(tmp_path):
    with pytest.raises(TicketInvalid, match="changes nothing"):
        read(tmp_path, 'title = "t"\n')
