"""Reading of INI text into validated models, with every fault named."""

import configparser
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated, Any, TypeVar

from pydantic import BaseModel, BeforeValidator, ConfigDict, ValidationError

from .exceptions import SettingsInvalid
from .masking import MASK, is_secret


@dataclass(frozen=True, slots=True)
class Fault:
    """Names one bad value by section and key.

    :param value: what stood there; secrets are masked.
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
    """Is the base of all models of an INI section; unknown keys are faults."""

    model_config = ConfigDict(extra="forbid", frozen=True)


SectionModel = TypeVar("SectionModel", bound=Section)


@dataclass(frozen=True, slots=True)
class Ini:
    """Holds parsed INI text.

    :param source: a name for messages, such as the file's path.
    """

    source: str
    parser: configparser.ConfigParser

    @classmethod
    def parse(cls, text: str, source: str) -> "Ini":
        """Parse INI text.

        :raises SettingsInvalid: if it is not INI.
        """
        parser = configparser.ConfigParser(interpolation=None)
        try:
            parser.read_string(text, source)
        except configparser.Error as error:
            fault = Fault("", "", "", str(error).replace("\n", " "))
            raise SettingsInvalid(source, (fault,)) from error
        return cls(source, parser)

    def sections(self, kind: str) -> Iterator[tuple[str, str]]:
        """Yield (section, name) for sections written as ``[kind name]``."""
        for section in self.parser.sections():
            words = section.split(None, 1)
            if len(words) == 2 and words[0] == kind:
                yield section, words[1]

    def unknown_sections(self, known: set[str]) -> Iterator[Fault]:
        """Yield a fault for each section whose first word is not known."""
        for section in self.parser.sections():
            if not known.intersection(section.split(None, 1)[:1]):
                yield Fault(section, "", "", "unknown section")

    def read(
        self, model: type[SectionModel], section: str, faults: list[Fault], **extra: Any
    ) -> SectionModel | None:
        """Validate one section.

        :param model: the model to build.
        :param section: the section's name; a missing one counts as empty.
        :param faults: receives what is wrong.
        :param extra: values that do not stand in the section, such as its name.
        :return: the model, or None if there were faults.
        """
        values: dict[str, Any] = {}
        if self.parser.has_section(section):
            values = dict(self.parser.items(section))
        try:
            return model(**values, **extra)
        except ValidationError as error:
            faults.extend(_faults(section, values, error))
            return None


def _faults(section: str, values: dict, error: ValidationError) -> Iterator[Fault]:
    for detail in error.errors():
        key = str(detail["loc"][0]) if detail["loc"] else ""
        value = str(values.get(key, ""))
        if is_secret(key):
            value = MASK
        yield Fault(section, key, value, detail["msg"])
