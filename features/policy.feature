Feature: The policy keeps its bounds in the benchmark
  The scheduler runs against engine models in virtual time, with fixed seeds.

  Scenario Outline: No request is shed, doubled or misjudged wrongly
    When the benchmark runs "<fault>"
    Then there is no inversion, no second dispatch and no false refusal
    And every request has an answer
    And no refusal comes later than its deadline and one round

    Examples:
      | fault     |
      | burst     |
      | straggler |
      | death     |
      | poison    |
      | leaving   |
      | handover  |
      | cut       |

  Scenario: The highest tier keeps its goodput under strain
    When the benchmark runs "calm"
    And the benchmark runs "strain"
    Then tier 1 keeps 0.99 of its goodput

  Scenario Outline: Twice the load costs no goodput
    When the benchmark runs the work of "<workload>" at load 1.0
    And the benchmark runs the work of "<workload>" at load 2.0
    Then the good tokens keep 0.95 of what they were

    Examples:
      | workload |
      | gold     |
      | school   |

  Scenario: Tokens of good answers at twice the load are above every baseline's
    When the benchmark runs the work of "gold" at load 2.0
    And every baseline runs it too
    Then the good tokens are 1.2 times the best baseline's

  Scenario: Good answers at twice the load are above every baseline's
    When the benchmark runs the work of "gold" at load 2.0
    And every baseline runs it too
    Then the good answers are 1.2 times the best baseline's

  Scenario: Prefixes are found almost as an oracle finds them
    When the benchmark runs the work of "school" at load 1.0
    Then prefix hits are 0.9 of the oracle's

  Scenario Outline: Less prefill is wasted than by any baseline
    When the benchmark runs the work of "<workload>" at load <load>
    And every baseline runs it too
    Then the wasted tokens for each whole answer are 0.333 of the best baseline's

    Examples: At capacity
      | workload | load |
      | school   | 1.0  |

    Examples: At twice the capacity
      | workload | load |
      | school   | 2.0  |
      | gold     | 2.0  |

  Scenario: A poison request takes down two upstreams at most
    When the benchmark runs "poison"
    Then at most 2 upstreams died
    And only the poison request is refused as poison

  Scenario: A leaving upstream gets nothing after two seconds
    When the benchmark runs "leaving"
    Then no request went to it later than that

  Scenario: Whoever comes back when told is admitted
    When the benchmark runs "returns"
    Then 0.9 of those that came back are admitted

  Scenario: A decision fits the processor time of all control work
    When decisions are timed at 10 upstreams and 5 accounts
    Then one decision takes 278 us at most
