"""Reports discouraged words, with the recommended term for each.

The words are listed in ``words.toml``. Both prose and identifiers are searched: the parts
of ``snake_case`` and ``CamelCase`` identifiers count as words.
"""

import re
import sys
import tomllib
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

_SEARCHED_FOLDERS = ('packages', 'platform')
_SUFFIXES = frozenset(('.py', '.feature', '.toml'))
_NAME_PART_BOUNDARY = re.compile('(?<=[a-z0-9])(?=[A-Z])|(?<=[A-Z])(?=[A-Z][a-z])|_')


class WordList(NamedTuple):
    """Discouraged words and the exceptions to them.

    Parameters
    ----------
    term_by_word : dict of str to str
        Recommended term by discouraged word or phrase.
    exceptions : list of str
        Text that is ignored by the search.
    """

    term_by_word: dict[str, str]
    exceptions: list[str]


class Finding(NamedTuple):
    """A discouraged word on one line of a file."""

    line: int
    word: str
    term: str


def read_word_list(path: Path) -> WordList:
    """Return the word list of a TOML file."""
    table = tomllib.loads(path.read_text())
    return WordList(table['words'], table['kept'])


def find_words(text: str, words: WordList) -> Iterator[Finding]:
    """Yield the discouraged words of a text, by line."""
    for number, line in enumerate(text.splitlines(), 1):
        normalized = _normalize(line, words.exceptions)
        for word, term in words.term_by_word.items():
            if f' {word} ' in normalized:
                yield Finding(number, word, term)


def _normalize(line: str, exceptions: Iterable[str]) -> str:
    """Return the words of a line in lower case, each surrounded by spaces, without the exceptions."""
    for text in exceptions:
        line = line.replace(text, '')
    parts = re.findall('[A-Za-z]+', _NAME_PART_BOUNDARY.sub(' ', line))
    return f' {" ".join(parts).lower()} '


def _source_files() -> list[Path]:
    found = (path for place in _SEARCHED_FOLDERS for path in sorted(Path(place).rglob('*')))
    return [path for path in found if path.suffix in _SUFFIXES and 'build' not in path.parts]


def main() -> int:
    """Print the findings in the source files below the working directory; return 1 if there are any."""
    words = read_word_list(Path(__file__).with_name('words.toml'))
    found = [(path, finding) for path in _source_files() for finding in find_words(path.read_text(), words)]
    sys.stdout.writelines(f'{path}:{each.line}: "{each.word}": use "{each.term}"\n' for path, each in found)
    return int(bool(found))


if __name__ == '__main__':
    sys.exit(main())
