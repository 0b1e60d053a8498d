"""Guards against discouraged words missed in prose or identifiers, and against matches inside other words."""

import pytest

from ..words import find_words, WordList

WORDS = WordList({'life': 'incarnation', 'stands still': 'is stalled'}, ["draw('life')"])


@pytest.mark.parametrize(
    'line',
    [
        '# Its life ends.',
        'known_life = 1',
        'class WorkerLife:',
        '_OTHER_LIFE = 421',
        'def test_a_run_that_stands_still_is_moved():',
        "stop('stands still')",
    ],
)
def test_listed_words_are_found_in_prose_and_in_identifiers(line):
    assert [finding.line for finding in find_words(f'\n{line}\n', WORDS)] == [2]


@pytest.mark.parametrize(
    'line', ['lifetime = 1', 'The lifeline stands; still', "draw('life')", 'A worker stands. It is still.']
)
def test_other_words_and_exceptions_are_not_reported(line):
    assert not list(find_words(line, WordList({'life': 'incarnation'}, ["draw('life')"])))


def test_finding_contains_the_recommended_term():
    assert [(finding.word, finding.term) for finding in find_words('life', WORDS)] == [('life', 'incarnation')]
