"""List of servers with entries of other writers."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hornbeamline.gateway import Target
from hornbeamline.helpers.codec import CodecError, decode, decode_json
from hornbeamline.platform._list import ListUnavailableError, ServerList

DEEP = 100_000
SOUND = (
    b'{"service":"s","address":"10.0.0.%d:80","zone":"z","version":"v1",'
    b'"slots":8,"state":"ready","warmup-left-ms":0,"id":"i-%d"}'
)
FOREIGN = {
    'surrogate': rb'{"id":"x","service":"s","version":"v1 \ud83d"}',
    'escape': rb'{"id":"x","version":"\q \x00 \u12"}',
    'control': b'{"id":"x","version":"a\x00\x01\n\tb"}',
    'utf-8': b'{"id":"x","version":"\xff\xfe\xc3"}',
    'brackets': rb'{"id":"]}],[{\"","version":"\\"}',
    'word': b'{"id":undefined}',
    'numbers': b'{"id":"x","slots":1e999999,"version":' + b'9' * 5000 + b'}',
    'nested': b'[' * DEEP + b']' * DEEP,
    'types': b'{"id":5,"service":[],"address":{},"zone":null,"state":true}',
    'state': SOUND.replace(b'ready', b'odd') % (9, 9),
    'address': SOUND.replace(b'10.0.0.%d:80', b'nowhere %d') % (9, 9),
    'port': SOUND.replace(b':80', b':65536') % (9, 9),
    'port of five digits': SOUND.replace(b':80', b':99999') % (9, 9),
    'no port': SOUND.replace(b':80', b':0') % (9, 9),
    'octet': SOUND.replace(b'10.0.0.%d', b'10.0.256.%d') % (9, 9),
    'digits': SOUND.replace(b'10.0.0.%d', '١٠.0.0.%d'.encode()) % (9, 9),
    'slots': SOUND.replace(b'"slots":8', b'"slots":1' + b'0' * 400) % (9, 9),
    'many slots': SOUND.replace(b'"slots":8', b'"slots":9223372036854775807')
    % (9, 9),
    'negative slots': SOUND.replace(b'"slots":8', b'"slots":-1') % (9, 9),
    'version': SOUND.replace(b'"v1"', b'7') % (9, 9),
    'no version': SOUND.replace(b'"v1"', b'null') % (9, 9),
    'long version': SOUND.replace(b'v1', b'v' * 400) % (9, 9),
    'header': SOUND.replace(b'i-%d', rb'i\r\nX-Api-Key: %d') % (9, 9),
    'empty': b'{}',
    'text': b'"\xc3("',
    'nothing': b'null',
}


class Response:
    """Response with a status."""

    def __init__(self, status: int = 200) -> None:
        self.status = status


class Pages:
    """HTTP client that returns the pages of a list in order."""

    def __init__(self, *pages: bytes) -> None:
        self._pages = list(pages)

    async def fetch(self, *_: Any) -> tuple[Response, bytes]:
        """Return the next page."""
        return Response(), self._pages.pop(0)


def page(*entries: bytes, following: bytes = b'null') -> bytes:
    """Return a page of the list."""
    listed = b','.join(entries)
    return b'{"instances":[%s],"next":%s}' % (listed, following)


async def read(*pages: bytes) -> list[Target]:
    """Return the targets of a list with these pages."""
    http: Any = Pages(*pages)
    return await ServerList(http, '10.0.0.1:1').read()


def ids(targets: list[Target]) -> list[str]:
    """Return the ids of targets."""
    return [target.id for target in targets]


# Failure: one entry that no decoder accepts made the whole list unreadable, so
# that no process became ready after a restart of all (RECOVER, review/2).
@pytest.mark.parametrize('place', [0, 1, 2])
@pytest.mark.parametrize('name', FOREIGN)
async def test_foreign_entry_does_not_hide_the_others(name, place) -> None:
    """Fault: another writer has added an entry."""
    entries = [SOUND % (1, 1), SOUND % (2, 2)]
    entries.insert(place, FOREIGN[name])
    first = page(*entries, following=b'"p-2"')
    assert ids(await read(first, page(SOUND % (3, 3)))) == ['i-1', 'i-2', 'i-3']


async def test_all_foreign_entries_together() -> None:
    """Fault: most of the list comes from other writers."""
    entries = [SOUND % (1, 1), *FOREIGN.values(), SOUND % (2, 2)]
    assert ids(await read(page(*entries))) == ['i-1', 'i-2']


@pytest.mark.parametrize(
    'broken',
    [
        b'',
        b'null',
        b'[]',
        b'{}',
        b'{"instances":5,"next":null}',
        page(SOUND % (1, 1))[:-30],
        page(SOUND % (1, 1), FOREIGN['escape'])[:-10],
        page(FOREIGN['escape'], following=b'5'),
        b'[' * DEEP,
    ],
)
async def test_page_that_is_cut_or_of_another_shape_is_unavailable(
    broken,
) -> None:
    """Guards against a part of the list that is taken for all of it."""
    with pytest.raises(ListUnavailableError):
        await read(broken)


# Failure: streams went on at targets of another version, which the list tells.
async def test_version_of_a_target_is_read() -> None:
    """Guards against versions that are mixed up or taken from other fields."""
    other = SOUND.replace(b'"v1"', b'"v1.2-rc \xc3\xa9"') % (2, 2)
    absent = SOUND.replace(b'"version":"v1",', b'') % (3, 3)
    targets = await read(page(SOUND % (1, 1), other, absent))
    assert [target.version for target in targets] == ['v1', 'v1.2-rc \xe9', '']


# Failure that this guards against: a time that cannot be read hides a target.
@pytest.mark.parametrize(
    ('text', 'is_cold'),
    [
        (b'2400', True),
        (b'0.5', True),
        (b'1e400', True),
        (b'9' * 400, True),
        (b'0', False),
        (b'-3000', False),
        (b'"3000"', False),
        (b'"\xc3"', False),
        (b'null', False),
        (b'true', False),
        (b'{}', False),
        (b'[3000]', False),
    ],
)
async def test_time_of_the_warm_up_becomes_a_flag(text, is_cold) -> None:
    """Fault: times that are negative, huge or not numbers."""
    entry = SOUND.replace(b'-ms":0', b'-ms":' + text) % (1, 1)
    absent = SOUND.replace(b'"warmup-left-ms":0,', b'') % (2, 2)
    targets = await read(page(entry, absent, SOUND % (3, 3)))
    assert ids(targets) == ['i-1', 'i-2', 'i-3']
    assert [target.is_cold for target in targets] == [is_cold, False, False]


async def test_empty_list_has_no_targets() -> None:
    """Guards against entries that are not there."""
    assert not await read(page())
    assert not await read(page(FOREIGN['escape']))


@given(st.binary(max_size=60))
async def test_any_text_in_an_entry_leaves_the_others(text) -> None:
    """Fault: a string of an entry has any bytes but quotes and backslashes."""
    content = text.replace(b'"', b'').replace(b'\\', b'')
    foreign = b'{"version":"%s"}' % content
    assert ids(await read(page(foreign, SOUND % (1, 1)))) == ['i-1']


@pytest.mark.parametrize('decoder', [decode, decode_json])
def test_deep_nesting_cannot_be_decoded(decoder) -> None:
    """Guards against an error that no caller of the decoder expects."""
    frame = (b'\x91' if decoder is decode else b'[') * DEEP
    with pytest.raises(CodecError):
        decoder(frame, list)
