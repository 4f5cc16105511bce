Feature: Answers are fetched whole from the host that holds them
  An entry host asks the holder of an answer for pieces at an offset. Pieces may come
  late, twice or not at all; the copy is the same bytes, or it is given up.

  Scenario Outline: Pieces that are <trouble> leave the copy whole
    Given a holder with an answer of 200000 bytes
    When another host fetches it over links that let pieces be <trouble>
    Then the copy is the same bytes and ends with the same outcome

    Examples:
      | trouble |
      | in time |
      | doubled |
      | lost    |
      | late    |

  Scenario: An answer that the holder does not know is given up at once
    Given a holder without the answer
    When another host fetches it over links that let pieces be in time
    Then the copy is given up
