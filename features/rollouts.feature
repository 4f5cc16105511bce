Feature: A service moves to a new version, and back if it is bad
  Coordinators and entry hosts run in virtual time before servers of two versions under
  load, of which every third is 4.4 times as slow as the others. What is judged is what
  callers, servers and the operator would see.

  Scenario Outline: A version whose answers are bad gets few requests: it <fault>
    Given a rollout to a version that <fault>, with seed <seed>
    When the rollout has ended
    Then it is reverted, and no limit on a bad version was exceeded

    Examples:
      | fault                 | seed |
      | fails at once         | 1    |
      | fails late            | 2    |
      | fails under load      | 3    |
      | fails on one route    | 4    |
      | is slow at once       | 5    |
      | is slow late          | 6    |
      | is slow under load    | 17   |
      | is slow on one route  | 8    |

  Scenario Outline: A good version is not reverted although <trouble>
    Given a rollout to a good version, with seed <seed>
    And during it <trouble>
    When the rollout has ended
    Then it is complete, and no answer of the old version was cut

    Examples:
      | trouble                                     | seed |
      | nothing happens                             | 1    |
      | one of its servers fails 4 in 10 requests   | 2    |
      | three of its servers are lost for good      | 4    |
      | 3 times as many requests come for 2 s       | 7    |
      | an entry host is cut off for 3 s            | 8    |

  Scenario Outline: A change of the leader exposes no more requests to a version that <fault>
    Given a rollout to a version that <fault>, with seed 1
    And during it the leader is lost <times> times
    When the rollout has ended
    Then it is reverted, and no limit on a bad version was exceeded

    Examples:
      | fault               | times |
      | fails at once       | 1     |
      | fails late          | 2     |
      | is slow at once     | 2     |

  Scenario: A change of the leader in the shift does not revert a good version
    Given a rollout to a good version, with seed 1
    When the leader is lost in the stage "shift"
    And the rollout has ended
    Then it is complete, and no answer of the old version was cut

  Scenario: A rollout goes on after all control hosts were killed
    Given a rollout to a good version, with seed 1
    And during it all control hosts are killed
    When the rollout has ended
    Then it is complete, and no answer of the old version was cut

  Scenario: An entry host without a leader gives an unproven version nothing
    Given a rollout to a good version, with seed 1
    When an entry host is cut off in the stage "canary"
    Then it sends requests to the old version only

  Scenario: An entry host without a leader uses only the new version once all traffic shifts
    Given a rollout to a good version, with seed 1
    When an entry host is cut off in the stage "shift"
    Then it sends requests to the new version only

  Scenario: Entry hosts without a leader find the few upstreams of the old version
    Given 6 entry hosts before 1 upstream of the old version and 12 of one listed since
    When the entry hosts lose their leader and request slots
    Then no slot was granted at the version that was just listed

  Scenario: A version that is listed before its order gets no requests
    Given servers of a new version that are listed 3000 ms before its order
    Then none of them got a request before the order

  Scenario: A repeated order is acknowledged again and starts nothing
    Given a rollout to a good version, with seed 1
    When the same order is repeated
    Then the repeat is answered as "repeated"
    And an order of another version is answered as "in_progress"
