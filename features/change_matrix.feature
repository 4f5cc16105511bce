Feature: Every fault at every step of a change and of a claim
  Control and entry hosts run in virtual time. The fault is injected at the step and
  remains while the operator or another caller repeats the request. Then all faults
  are repaired.

  Pairs of faults are drawn at random with a fixed seed. To run more of them, or all,
  set their number:

      PERIDOTFRONT_FAULT_PAIRS=1000 .venv/bin/behave features/change_matrix.feature

  Scenario Outline: A change that is <step> when <fault>
    Given a control group with a configuration
    When a change is <step>
    And <fault>
    And the operator repeats the change until it is answered
    And all faults are repaired
    Then the change was applied once and every repeat has the same outcome
    And every host has the version in force and never stepped back

    Examples: proposed
      | step     | fault                                     |
      | proposed | the leader is killed                      |
      | proposed | the leader is restarted                   |
      | proposed | a follower is killed                      |
      | proposed | the leader is isolated                    |
      | proposed | the leader cannot send                    |
      | proposed | the leader cannot receive                 |
      | proposed | the leader is frozen for 5000 ms          |
      | proposed | the leader loses its disk                 |
      | proposed | all control hosts restart                 |
      | proposed | another operator changes the same version |
      | proposed | the leader's data centre is cut off       |
      | proposed | an entry host restarts blank              |

    Examples: appended
      | step     | fault                                     |
      | appended | the leader is killed                      |
      | appended | the leader is restarted                   |
      | appended | a follower is killed                      |
      | appended | the leader is isolated                    |
      | appended | the leader cannot send                    |
      | appended | the leader cannot receive                 |
      | appended | the leader is frozen for 5000 ms          |
      | appended | the leader loses its disk                 |
      | appended | all control hosts restart                 |
      | appended | another operator changes the same version |
      | appended | the leader's data centre is cut off       |
      | appended | an entry host restarts blank              |

    Examples: replicated
      | step       | fault                                     |
      | replicated | the leader is killed                      |
      | replicated | the leader is restarted                   |
      | replicated | a follower is killed                      |
      | replicated | the leader is isolated                    |
      | replicated | the leader cannot send                    |
      | replicated | the leader cannot receive                 |
      | replicated | the leader is frozen for 5000 ms          |
      | replicated | the leader loses its disk                 |
      | replicated | all control hosts restart                 |
      | replicated | another operator changes the same version |
      | replicated | the leader's data centre is cut off       |
      | replicated | an entry host restarts blank              |

    Examples: committed
      | step      | fault                                     |
      | committed | the leader is killed                      |
      | committed | the leader is restarted                   |
      | committed | a follower is killed                      |
      | committed | the leader is isolated                    |
      | committed | the leader cannot send                    |
      | committed | the leader cannot receive                 |
      | committed | the leader is frozen for 5000 ms          |
      | committed | the leader loses its disk                 |
      | committed | all control hosts restart                 |
      | committed | another operator changes the same version |
      | committed | the leader's data centre is cut off       |
      | committed | an entry host restarts blank              |

    Examples: answered
      | step     | fault                                     |
      | answered | the leader is killed                      |
      | answered | the leader is restarted                   |
      | answered | a follower is killed                      |
      | answered | the leader is isolated                    |
      | answered | the leader cannot send                    |
      | answered | the leader cannot receive                 |
      | answered | the leader is frozen for 5000 ms          |
      | answered | the leader loses its disk                 |
      | answered | all control hosts restart                 |
      | answered | another operator changes the same version |
      | answered | the leader's data centre is cut off       |
      | answered | an entry host restarts blank              |

    Examples: applied at one host but not at another
      | step                                   | fault                                     |
      | applied at one host but not at another | the leader is killed                      |
      | applied at one host but not at another | the leader is restarted                   |
      | applied at one host but not at another | a follower is killed                      |
      | applied at one host but not at another | the leader is isolated                    |
      | applied at one host but not at another | the leader cannot send                    |
      | applied at one host but not at another | the leader cannot receive                 |
      | applied at one host but not at another | the leader is frozen for 5000 ms          |
      | applied at one host but not at another | the leader loses its disk                 |
      | applied at one host but not at another | all control hosts restart                 |
      | applied at one host but not at another | another operator changes the same version |
      | applied at one host but not at another | the leader's data centre is cut off       |
      | applied at one host but not at another | an entry host restarts blank              |

  Scenario: Pairs of faults at any step of a change leave it applied once
    Then 40 changes hold under pairs of faults

  Scenario: Pairs of faults at any step of a claim leave it run at most once
    Then 40 claims hold under pairs of faults

  Scenario Outline: A claim whose step is <step> when <fault>
    Given a control group with a configuration
    When a claim of "e1" is <step>
    And <fault>
    And a caller repeats the request at "e2" until it has an outcome
    And all faults are repaired
    Then the request ran at most once and every repeat has the same outcome
    And every acknowledged outcome is on record

    Examples: requested
      | step      | fault                            |
      | requested | the leader is killed             |
      | requested | the leader is isolated           |
      | requested | the leader cannot send           |
      | requested | the leader cannot receive        |
      | requested | the leader is frozen for 5000 ms |
      | requested | the leader loses its disk        |
      | requested | a follower is killed             |
      | requested | all control hosts restart        |
      | requested | the holder is killed             |
      | requested | the holder is restarted          |
      | requested | the holder is isolated           |
      | requested | the holder cannot send           |
      | requested | the holder cannot receive        |
      | requested | the holder is frozen for 9000 ms |
      | requested | messages are duplicated and late |

    Examples: appended
      | step     | fault                            |
      | appended | the leader is killed             |
      | appended | the leader is isolated           |
      | appended | the leader cannot send           |
      | appended | the leader cannot receive        |
      | appended | the leader is frozen for 5000 ms |
      | appended | the leader loses its disk        |
      | appended | a follower is killed             |
      | appended | all control hosts restart        |
      | appended | the holder is killed             |
      | appended | the holder is restarted          |
      | appended | the holder is isolated           |
      | appended | the holder cannot send           |
      | appended | the holder cannot receive        |
      | appended | the holder is frozen for 9000 ms |
      | appended | messages are duplicated and late |

    Examples: committed
      | step      | fault                            |
      | committed | the leader is killed             |
      | committed | the leader is isolated           |
      | committed | the leader cannot send           |
      | committed | the leader cannot receive        |
      | committed | the leader is frozen for 5000 ms |
      | committed | the leader loses its disk        |
      | committed | a follower is killed             |
      | committed | all control hosts restart        |
      | committed | the holder is killed             |
      | committed | the holder is restarted          |
      | committed | the holder is isolated           |
      | committed | the holder cannot send           |
      | committed | the holder cannot receive        |
      | committed | the holder is frozen for 9000 ms |
      | committed | messages are duplicated and late |

    Examples: answered
      | step     | fault                            |
      | answered | the leader is killed             |
      | answered | the leader is isolated           |
      | answered | the leader cannot send           |
      | answered | the leader cannot receive        |
      | answered | the leader is frozen for 5000 ms |
      | answered | the leader loses its disk        |
      | answered | a follower is killed             |
      | answered | all control hosts restart        |
      | answered | the holder is killed             |
      | answered | the holder is restarted          |
      | answered | the holder is isolated           |
      | answered | the holder cannot send           |
      | answered | the holder cannot receive        |
      | answered | the holder is frozen for 9000 ms |
      | answered | messages are duplicated and late |

    Examples: outcome reported
      | step             | fault                            |
      | outcome reported | the leader is killed             |
      | outcome reported | the leader is isolated           |
      | outcome reported | the leader cannot send           |
      | outcome reported | the leader cannot receive        |
      | outcome reported | the leader is frozen for 5000 ms |
      | outcome reported | the leader loses its disk        |
      | outcome reported | a follower is killed             |
      | outcome reported | all control hosts restart        |
      | outcome reported | the holder is killed             |
      | outcome reported | the holder is restarted          |
      | outcome reported | the holder is isolated           |
      | outcome reported | the holder cannot send           |
      | outcome reported | the holder cannot receive        |
      | outcome reported | the holder is frozen for 9000 ms |
      | outcome reported | messages are duplicated and late |

    Examples: outcome committed
      | step              | fault                            |
      | outcome committed | the leader is killed             |
      | outcome committed | the leader is isolated           |
      | outcome committed | the leader cannot send           |
      | outcome committed | the leader cannot receive        |
      | outcome committed | the leader is frozen for 5000 ms |
      | outcome committed | the leader loses its disk        |
      | outcome committed | a follower is killed             |
      | outcome committed | all control hosts restart        |
      | outcome committed | the holder is killed             |
      | outcome committed | the holder is restarted          |
      | outcome committed | the holder is isolated           |
      | outcome committed | the holder cannot send           |
      | outcome committed | the holder cannot receive        |
      | outcome committed | the holder is frozen for 9000 ms |
      | outcome committed | messages are duplicated and late |
