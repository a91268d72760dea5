"""Loading, validation and changes of inventory and rules."""

from __future__ import annotations

import copy
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hornbeamline.inventory import (
    EntrySettings,
    InvalidDocumentError,
    UnreadableFileError,
    apply_operations,
    difference,
    digest_after,
    document_digest,
    fleet_after,
    fleet_of,
    load_document,
    load_settings,
    validate,
)
from tests.common import ROOT, write_toml

# Numbers of hosts, targets, client accounts and data centres.
EXAMPLES = {'tunja': (12, 22, 5, 4), 'nasrallah': (12, 17, 5, 3)}


def example(name: str):
    """Return the document of an example fleet."""
    return load_document(sorted((ROOT / 'examples' / name).glob('*.toml')))


@pytest.mark.parametrize('name', EXAMPLES)
def test_examples_have_the_stated_sizes(name: str) -> None:
    """Guards against examples that no longer match their stated sizes."""
    fleet = validate(example(name))
    assert EXAMPLES[name] == (
        len(fleet.hosts_by_name),
        len(fleet.targets_by_name),
        len(fleet.accounts_by_name),
        len(fleet.data_centres_by_name),
    )


def break_unknown_key(document):
    document['targets_by_name']['drafting-1']['adress'] = '127.0.0.1:1'


def break_unknown_section(document):
    document['tagets_by_name'] = {}


def break_data_centre(document):
    document['targets_by_name']['drafting-1']['data_centre'] = 'nowhere'


def break_stage_without_target(document):
    document['services_by_name']['new'] = {'kind': 'plain'}
    document['pipelines_by_name']['filing']['stages'][0]['service'] = 'new'


def break_negative_limit(document):
    document['targets_by_name']['drafting-1']['concurrency'] = -1


def break_type(document):
    document['pipelines_by_name']['filing']['deadline_ms'] = 'soon'


def break_host_name_address(document):
    document['targets_by_name']['drafting-1']['address'] = 'localhost:80'


def break_shared_address(document):
    targets = document['targets_by_name']
    targets['drafting-1']['address'] = targets['drafting-2']['address']


def break_shared_credential(document):
    accounts = document['accounts_by_name']
    accounts['auditoria'] = accounts['cementos-boyaca']


def break_software_version(document):
    document['targets_by_name']['drafting-1']['software_version'] = 'v 1'


def break_long_software_version(document):
    document['targets_by_name']['drafting-1']['software_version'] = '1' * 65


@pytest.mark.parametrize(
    ('breakage', 'key_path'),
    [
        (break_unknown_key, 'targets_by_name.drafting-1'),
        (break_unknown_section, '(root)'),
        (break_data_centre, 'targets_by_name.drafting-1.data_centre'),
        (break_stage_without_target, 'pipelines_by_name.filing.stages[0]'),
        (break_negative_limit, 'targets_by_name.drafting-1.concurrency'),
        (break_type, 'pipelines_by_name.filing.deadline_ms'),
        (break_host_name_address, 'targets_by_name.drafting-1.address'),
        (break_shared_address, 'targets_by_name.drafting-2.address'),
        (break_shared_credential, 'accounts_by_name.auditoria'),
        (break_software_version, 'drafting-1.software_version'),
        (break_long_software_version, 'drafting-1.software_version'),
    ],
)
def test_invalid_document_is_refused(breakage, key_path: str) -> None:
    """Guards against an invalid inventory that takes effect."""
    document = copy.deepcopy(example('tunja'))
    breakage(document)
    with pytest.raises(InvalidDocumentError) as caught:
        validate(document)
    assert key_path in caught.value.key_path


@pytest.mark.parametrize('version', ['', '7', 'v1.2-rc.1+build_5', '1' * 64])
def test_software_version_is_optional_text(version: str) -> None:
    """Guards against versions that must be numbers or have an order."""
    document = copy.deepcopy(example('tunja'))
    document['targets_by_name']['drafting-1']['software_version'] = version
    targets = validate(document).targets_by_name
    assert targets['drafting-1'].software_version == version
    assert targets['drafting-2'].software_version == ''


def test_name_in_two_files_is_refused(tmp_path: Path) -> None:
    """Guards against two files that silently override each other."""
    for name in ('a.toml', 'b.toml'):
        write_toml(tmp_path / name, {'fleet': {'name': 'x'}})
    with pytest.raises(InvalidDocumentError, match='defined twice'):
        load_document(sorted(tmp_path.glob('*.toml')))


def test_broken_toml_names_the_file(tmp_path: Path) -> None:
    """Guards against an error message without the name of the file."""
    path = tmp_path / 'entry.toml'
    path.write_text('host = [')
    with pytest.raises(UnreadableFileError, match='entry.toml'):
        load_settings(path, EntrySettings)


tables = st.dictionaries(
    st.sampled_from(['a', 'b', 'c']),
    st.dictionaries(st.sampled_from(['x', 'y']), st.integers(0, 3)),
)
documents = st.dictionaries(st.sampled_from(['s', 't']), tables)


@settings(derandomize=True)
@given(old=documents, new=documents)
def test_difference_turns_old_into_new(old, new) -> None:
    """Guards against a change that leaves or loses a table."""
    changed = apply_operations(old, difference(old, new))
    assert {key: part for key, part in changed.items() if part} == {
        key: part for key, part in new.items() if part
    }


@settings(derandomize=True)
@given(old=documents, new=documents)
def test_digest_of_a_change_is_that_of_the_result(old, new) -> None:
    """Guards against a copy that is refused, or taken, wrongly."""
    steps = difference(old, new)
    steps += difference(new, old) + difference(old, new)
    after = digest_after(document_digest(old), old, steps)
    assert after == document_digest(apply_operations(old, steps))


def test_changed_fleet_equals_a_whole_conversion() -> None:
    """Guards against partial conversions that keep tables of old revisions."""
    old = example('tunja')
    new = copy.deepcopy(old)
    new['targets_by_name'].pop('drafting-6')
    new['targets_by_name']['drafting-1']['state'] = 'draining'
    new['accounts_by_name']['auditoria']['share'] = 3
    for changed in (new, {**new, 'rules': {'hedge': {'enabled': False}}}):
        steps = difference(old, changed)
        assert fleet_after(fleet_of(old), changed, steps) == fleet_of(changed)
    broken = copy.deepcopy(new)
    broken['targets_by_name']['drafting-1']['adress'] = '127.0.0.1:1'
    with pytest.raises(InvalidDocumentError) as caught:
        fleet_after(fleet_of(old), broken, difference(old, broken))
    assert caught.value.key_path == 'targets_by_name.drafting-1'


def test_digest_does_not_depend_on_key_order() -> None:
    """Guards against full fetches caused by a different order of keys."""
    document = example('tunja')
    reordered = dict(reversed(document.items()))
    assert document_digest(document) == document_digest(reordered)
