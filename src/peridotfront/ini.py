"""Parsing of INI text into validated models, with all invalid values reported."""

import configparser
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated, Any, TypeVar

from pydantic import BaseModel, BeforeValidator, ConfigDict, ValidationError

from .exceptions import SettingsInvalid
from .masking import MASK, is_secret


@dataclass(frozen=True, slots=True)
class Fault:
    """Invalid value of an INI file, by section and key.

    :param value: the invalid value; secrets are masked.
    """

    section: str
    key: str
    value: str
    reason: str

    def __str__(self) -> str:
        return f"[{self.section}] {self.key} = {self.value!r}: {self.reason}"


def split_words(value: Any) -> Any:
    """Split a comma-separated value into a tuple of its words."""
    if not isinstance(value, str):
        return value
    return tuple([word.strip() for word in value.split(",") if word.strip()])


Words = Annotated[tuple[str, ...], BeforeValidator(split_words)]


class Section(BaseModel):
    """Base class of the models of INI sections; unknown keys are faults."""

    model_config = ConfigDict(extra="forbid", frozen=True)


SectionModel = TypeVar("SectionModel", bound=Section)


@dataclass(frozen=True, slots=True)
class Ini:
    """Parsed INI text.

    :param source: name of the text for messages, such as the file's path.
    """

    source: str
    parser: configparser.ConfigParser

    @classmethod
    def parse(cls, text: str, source: str) -> "Ini":
        """Parse INI text.

        :raises SettingsInvalid: if it is not valid INI.
        """
        parser = configparser.ConfigParser(interpolation=None)
        try:
            parser.read_string(text, source)
        except configparser.Error as error:
            fault = Fault("", "", "", str(error).replace("\n", " "))
            raise SettingsInvalid(source, (fault,)) from error
        return cls(source, parser)

    def sections(self, kind: str) -> Iterator[tuple[str, str]]:
        """Yield (section, name) for each section written as ``[kind name]``."""
        for section in self.parser.sections():
            words = section.split(None, 1)
            if len(words) == 2 and words[0] == kind:
                yield section, words[1]

    def unknown_sections(self, known_kinds: set[str]) -> Iterator[Fault]:
        """Yield a fault for each section whose first word is not a known kind."""
        for section in self.parser.sections():
            if not known_kinds.intersection(section.split(None, 1)[:1]):
                yield Fault(section, "", "", "unknown section")

    def read(
        self, model: type[SectionModel], section: str, faults: list[Fault], **extra: Any
    ) -> SectionModel | None:
        """Validate one section.

        :param model: type of the model to build.
        :param section: the section's name; a missing section counts as empty.
        :param faults: list to which a fault for each invalid value is added.
        :param extra: values that are not in the section, such as its name.
        :return: the model, or None if there were faults.
        """
        values: dict[str, Any] = {}
        if self.parser.has_section(section):
            values = dict(self.parser.items(section))
        try:
            return model(**values, **extra)
        except ValidationError as error:
            faults.extend(_collect_faults(section, values, error))
            return None


def _collect_faults(
    section: str, values: dict, error: ValidationError
) -> Iterator[Fault]:
    for error_details in error.errors():
        key = str(error_details["loc"][0]) if error_details["loc"] else ""
        value = str(values.get(key, ""))
        if is_secret(key):
            value = MASK
        yield Fault(section, key, value, error_details["msg"])
