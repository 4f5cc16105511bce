Feature: Answers are transferred completely from the host that holds them
  An entry host requests chunks of an answer at an offset from its holder. Chunks may
  be delayed, duplicated or lost; the copy has the same bytes, or it is abandoned.

  Scenario Outline: A copy is complete when chunks are <trouble>
    Given a holder with an answer of 200000 bytes
    When another host fetches it while chunks are <trouble>
    Then the copy is the same bytes and ends with the same outcome

    Examples:
      | trouble |
      | in time |
      | doubled |
      | lost    |
      | late    |

  Scenario: The copy of an answer that the holder does not have is abandoned
    Given a holder without the answer
    When another host fetches it while chunks are in time
    Then the copy is abandoned

  Scenario Outline: A late chunk for an earlier copy does not end a later one: it is from <sender>
    Given a request whose copy from one host was abandoned
    When it is copied from another host and a late chunk of <sender> says not_run
    Then the copy ends with what the answer's holder says

    Examples:
      | sender          |
      | the first host  |
      | the second host |

  Scenario: A copy that is given up writes nothing more into its answer
    Given a request that copies an answer from a host
    When its copy is given up and a late chunk arrives
    Then the answer is still empty and no end was reported
