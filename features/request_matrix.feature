Feature: Every fault at every step of a request
  Entry hosts, control hosts and fake upstreams run in virtual time on the classes
  of the programs. A caller sends a request with a key, a fault occurs at one of its
  steps, and the caller repeats it at another host until it has ended. The test counts
  the executions and compares the answers.

  A long fuzzing run: PERIDOTFRONT_FUZZ_EXAMPLES=2000
  PERIDOTFRONT_FUZZ_STEPS=60 behave features/request_matrix.feature -n "Requests and
  faults in any order"

  Scenario Outline: <fault> when a request to <target> is <step>
    Given three entry hosts, three control hosts and four upstreams in virtual time
    When a request to <target> is <step> and <fault>
    And its caller sends it again to another entry host until it has ended
    Then it was dispatched at most once and every final answer is true

    Examples: an engine, received
      | target    | step     | fault                                 |
      | an engine | received | the entry host is killed              |
      | an engine | received | the entry host is killed and restarts |
      | an engine | received | the entry host is isolated            |
      | an engine | received | the entry host is mute                |
      | an engine | received | the entry host is deaf                |
      | an engine | received | the entry host is frozen              |
      | an engine | received | its data centre is cut off            |
      | an engine | received | the control leader is killed          |
      | an engine | received | the control leader is isolated        |
      | an engine | received | the control leader is frozen          |
      | an engine | received | the control leader loses its disk     |
      | an engine | received | a control follower is killed          |
      | an engine | received | the upstreams die                     |
      | an engine | received | the scheduler of its cell is killed   |
      | an engine | received | the scheduler of its cell is isolated |
      | an engine | received | the scheduler of its cell is frozen   |
      | an engine | received | messages are lost, doubled and late   |
      | an engine | received | the caller leaves                     |

    Examples: an engine, queued
      | target    | step   | fault                                 |
      | an engine | queued | the entry host is killed              |
      | an engine | queued | the entry host is killed and restarts |
      | an engine | queued | the entry host is isolated            |
      | an engine | queued | the entry host is mute                |
      | an engine | queued | the entry host is deaf                |
      | an engine | queued | the entry host is frozen              |
      | an engine | queued | its data centre is cut off            |
      | an engine | queued | the control leader is killed          |
      | an engine | queued | the control leader is isolated        |
      | an engine | queued | the control leader is frozen          |
      | an engine | queued | the control leader loses its disk     |
      | an engine | queued | a control follower is killed          |
      | an engine | queued | the upstreams die                     |
      | an engine | queued | the scheduler of its cell is killed   |
      | an engine | queued | the scheduler of its cell is isolated |
      | an engine | queued | the scheduler of its cell is frozen   |
      | an engine | queued | messages are lost, doubled and late   |
      | an engine | queued | the caller leaves                     |

    Examples: an engine, claimed
      | target    | step    | fault                                 |
      | an engine | claimed | the entry host is killed              |
      | an engine | claimed | the entry host is killed and restarts |
      | an engine | claimed | the entry host is isolated            |
      | an engine | claimed | the entry host is mute                |
      | an engine | claimed | the entry host is deaf                |
      | an engine | claimed | the entry host is frozen              |
      | an engine | claimed | its data centre is cut off            |
      | an engine | claimed | the control leader is killed          |
      | an engine | claimed | the control leader is isolated        |
      | an engine | claimed | the control leader is frozen          |
      | an engine | claimed | the control leader loses its disk     |
      | an engine | claimed | a control follower is killed          |
      | an engine | claimed | the upstreams die                     |
      | an engine | claimed | the scheduler of its cell is killed   |
      | an engine | claimed | the scheduler of its cell is isolated |
      | an engine | claimed | the scheduler of its cell is frozen   |
      | an engine | claimed | messages are lost, doubled and late   |
      | an engine | claimed | the caller leaves                     |

    Examples: an engine, sent
      | target    | step | fault                                 |
      | an engine | sent | the entry host is killed              |
      | an engine | sent | the entry host is killed and restarts |
      | an engine | sent | the entry host is isolated            |
      | an engine | sent | the entry host is mute                |
      | an engine | sent | the entry host is deaf                |
      | an engine | sent | the entry host is frozen              |
      | an engine | sent | its data centre is cut off            |
      | an engine | sent | the control leader is killed          |
      | an engine | sent | the control leader is isolated        |
      | an engine | sent | the control leader is frozen          |
      | an engine | sent | the control leader loses its disk     |
      | an engine | sent | a control follower is killed          |
      | an engine | sent | the upstreams die                     |
      | an engine | sent | the scheduler of its cell is killed   |
      | an engine | sent | the scheduler of its cell is isolated |
      | an engine | sent | the scheduler of its cell is frozen   |
      | an engine | sent | messages are lost, doubled and late   |
      | an engine | sent | the caller leaves                     |

    Examples: an engine, streaming
      | target    | step      | fault                                 |
      | an engine | streaming | the entry host is killed              |
      | an engine | streaming | the entry host is killed and restarts |
      | an engine | streaming | the entry host is isolated            |
      | an engine | streaming | the entry host is mute                |
      | an engine | streaming | the entry host is deaf                |
      | an engine | streaming | the entry host is frozen              |
      | an engine | streaming | its data centre is cut off            |
      | an engine | streaming | the control leader is killed          |
      | an engine | streaming | the control leader is isolated        |
      | an engine | streaming | the control leader is frozen          |
      | an engine | streaming | the control leader loses its disk     |
      | an engine | streaming | a control follower is killed          |
      | an engine | streaming | the upstreams die                     |
      | an engine | streaming | the scheduler of its cell is killed   |
      | an engine | streaming | the scheduler of its cell is isolated |
      | an engine | streaming | the scheduler of its cell is frozen   |
      | an engine | streaming | messages are lost, doubled and late   |
      | an engine | streaming | the caller leaves                     |

    Examples: an engine, answered
      | target    | step     | fault                                 |
      | an engine | answered | the entry host is killed              |
      | an engine | answered | the entry host is killed and restarts |
      | an engine | answered | the entry host is isolated            |
      | an engine | answered | the entry host is mute                |
      | an engine | answered | the entry host is deaf                |
      | an engine | answered | the entry host is frozen              |
      | an engine | answered | its data centre is cut off            |
      | an engine | answered | the control leader is killed          |
      | an engine | answered | the control leader is isolated        |
      | an engine | answered | the control leader is frozen          |
      | an engine | answered | the control leader loses its disk     |
      | an engine | answered | a control follower is killed          |
      | an engine | answered | the upstreams die                     |
      | an engine | answered | the scheduler of its cell is killed   |
      | an engine | answered | the scheduler of its cell is isolated |
      | an engine | answered | the scheduler of its cell is frozen   |
      | an engine | answered | messages are lost, doubled and late   |

    Examples: a plain service, received
      | target          | step     | fault                                 |
      | a plain service | received | the entry host is killed              |
      | a plain service | received | the entry host is killed and restarts |
      | a plain service | received | the entry host is isolated            |
      | a plain service | received | the entry host is mute                |
      | a plain service | received | the entry host is deaf                |
      | a plain service | received | the entry host is frozen              |
      | a plain service | received | its data centre is cut off            |
      | a plain service | received | the control leader is killed          |
      | a plain service | received | the control leader is isolated        |
      | a plain service | received | the control leader is frozen          |
      | a plain service | received | the control leader loses its disk     |
      | a plain service | received | a control follower is killed          |
      | a plain service | received | the upstreams die                     |
      | a plain service | received | the scheduler of its cell is killed   |
      | a plain service | received | the scheduler of its cell is isolated |
      | a plain service | received | the scheduler of its cell is frozen   |
      | a plain service | received | messages are lost, doubled and late   |
      | a plain service | received | the caller leaves                     |

    Examples: a plain service, queued
      | target          | step   | fault                                 |
      | a plain service | queued | the entry host is killed              |
      | a plain service | queued | the entry host is killed and restarts |
      | a plain service | queued | the entry host is isolated            |
      | a plain service | queued | the entry host is mute                |
      | a plain service | queued | the entry host is deaf                |
      | a plain service | queued | the entry host is frozen              |
      | a plain service | queued | its data centre is cut off            |
      | a plain service | queued | the control leader is killed          |
      | a plain service | queued | the control leader is isolated        |
      | a plain service | queued | the control leader is frozen          |
      | a plain service | queued | the control leader loses its disk     |
      | a plain service | queued | a control follower is killed          |
      | a plain service | queued | the upstreams die                     |
      | a plain service | queued | the scheduler of its cell is killed   |
      | a plain service | queued | the scheduler of its cell is isolated |
      | a plain service | queued | the scheduler of its cell is frozen   |
      | a plain service | queued | messages are lost, doubled and late   |
      | a plain service | queued | the caller leaves                     |

    Examples: a plain service, claimed
      | target          | step    | fault                                 |
      | a plain service | claimed | the entry host is killed              |
      | a plain service | claimed | the entry host is killed and restarts |
      | a plain service | claimed | the entry host is isolated            |
      | a plain service | claimed | the entry host is mute                |
      | a plain service | claimed | the entry host is deaf                |
      | a plain service | claimed | the entry host is frozen              |
      | a plain service | claimed | its data centre is cut off            |
      | a plain service | claimed | the control leader is killed          |
      | a plain service | claimed | the control leader is isolated        |
      | a plain service | claimed | the control leader is frozen          |
      | a plain service | claimed | the control leader loses its disk     |
      | a plain service | claimed | a control follower is killed          |
      | a plain service | claimed | the upstreams die                     |
      | a plain service | claimed | the scheduler of its cell is killed   |
      | a plain service | claimed | the scheduler of its cell is isolated |
      | a plain service | claimed | the scheduler of its cell is frozen   |
      | a plain service | claimed | messages are lost, doubled and late   |
      | a plain service | claimed | the caller leaves                     |

    Examples: a plain service, sent
      | target          | step | fault                                 |
      | a plain service | sent | the entry host is killed              |
      | a plain service | sent | the entry host is killed and restarts |
      | a plain service | sent | the entry host is isolated            |
      | a plain service | sent | the entry host is mute                |
      | a plain service | sent | the entry host is deaf                |
      | a plain service | sent | the entry host is frozen              |
      | a plain service | sent | its data centre is cut off            |
      | a plain service | sent | the control leader is killed          |
      | a plain service | sent | the control leader is isolated        |
      | a plain service | sent | the control leader is frozen          |
      | a plain service | sent | the control leader loses its disk     |
      | a plain service | sent | a control follower is killed          |
      | a plain service | sent | the upstreams die                     |
      | a plain service | sent | the scheduler of its cell is killed   |
      | a plain service | sent | the scheduler of its cell is isolated |
      | a plain service | sent | the scheduler of its cell is frozen   |
      | a plain service | sent | messages are lost, doubled and late   |
      | a plain service | sent | the caller leaves                     |

    Examples: a plain service, streaming
      | target          | step      | fault                                 |
      | a plain service | streaming | the entry host is killed              |
      | a plain service | streaming | the entry host is killed and restarts |
      | a plain service | streaming | the entry host is isolated            |
      | a plain service | streaming | the entry host is mute                |
      | a plain service | streaming | the entry host is deaf                |
      | a plain service | streaming | the entry host is frozen              |
      | a plain service | streaming | its data centre is cut off            |
      | a plain service | streaming | the control leader is killed          |
      | a plain service | streaming | the control leader is isolated        |
      | a plain service | streaming | the control leader is frozen          |
      | a plain service | streaming | the control leader loses its disk     |
      | a plain service | streaming | a control follower is killed          |
      | a plain service | streaming | the upstreams die                     |
      | a plain service | streaming | the scheduler of its cell is killed   |
      | a plain service | streaming | the scheduler of its cell is isolated |
      | a plain service | streaming | the scheduler of its cell is frozen   |
      | a plain service | streaming | messages are lost, doubled and late   |
      | a plain service | streaming | the caller leaves                     |

    Examples: a plain service, answered
      | target          | step     | fault                                 |
      | a plain service | answered | the entry host is killed              |
      | a plain service | answered | the entry host is killed and restarts |
      | a plain service | answered | the entry host is isolated            |
      | a plain service | answered | the entry host is mute                |
      | a plain service | answered | the entry host is deaf                |
      | a plain service | answered | the entry host is frozen              |
      | a plain service | answered | its data centre is cut off            |
      | a plain service | answered | the control leader is killed          |
      | a plain service | answered | the control leader is isolated        |
      | a plain service | answered | the control leader is frozen          |
      | a plain service | answered | the control leader loses its disk     |
      | a plain service | answered | a control follower is killed          |
      | a plain service | answered | the upstreams die                     |
      | a plain service | answered | the scheduler of its cell is killed   |
      | a plain service | answered | the scheduler of its cell is isolated |
      | a plain service | answered | the scheduler of its cell is frozen   |
      | a plain service | answered | messages are lost, doubled and late   |

  Scenario Outline: An engine's answer is delivered after its entry host died (<step>)
    Given three entry hosts, three control hosts and four upstreams in virtual time
    When a request to an engine is <step> and the entry host is killed
    And its caller sends it again to another entry host until it has ended
    Then the answer is complete although the holder died

    Examples:
      | step      |
      | streaming |

  Scenario Outline: A repeat that cannot get a slot is not refused as not run after its request to <target> ran
    Given three entry hosts, three control hosts and four upstreams in virtual time
    When a request to <target> is answered and a control follower is killed
    And a host without upstreams gets it again
    Then it is not refused as not run

    Examples:
      | target          |
      | an engine       |
      | a plain service |

  Scenario: Requests and faults in any order run each request at most once
    When requests and faults come in any order
    Then no request ran twice, every final answer was true and none was missing
