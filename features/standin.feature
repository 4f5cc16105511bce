Feature: The stand-in upstream behaves as an engine or a service does
  Tests and demonstrations rely on it: its answers can be checked byte for byte
  and its runs counted from outside.

  Scenario: Any jobs are run to their end within the memory
    When any jobs are submitted to the model at any times
    Then each produces exactly its tokens and the memory is never exceeded

  Scenario: A prefix that was seen is computed once, until it is evicted
    Given a model of an engine with memory for 350 tokens
    When the same prompt runs twice and then others fill the memory
    Then the second run computes only what is not in the cache
    And cache events tell what was stored and evicted, in order

  Scenario: Cache events and load come late and with gaps
    Given a model of an engine with lags of 100 ms and a gap at each second event
    When three prompts have run
    Then the load and the events show only what is old enough, with gaps

  Scenario Outline: An engine answers byte for byte: <kind>
    Given a stand-in engine
    When a <kind> completion of 30 tokens is asked for
    Then its text is the expected text

    Examples:
      | kind             |
      | plain            |
      | streamed         |
      | plain chat       |
      | streamed chat    |

  Scenario Outline: A stream that broke after it was <how> is resumed without a second run
    Given a stand-in engine
    And its fault cut_after_tokens is 5
    When a streamed completion of 30 tokens is <how> and resumed at its offset
    Then its text is the expected text
    And the run file shows 1 dispatch and 1 prefill

    Examples:
      | how       |
      | cut off   |
      | abandoned |

  Scenario: A cancelled request stops and can't be resumed
    Given a stand-in engine
    When a streamed completion of 5000 tokens is cancelled
    Then it is gone from the engine and its stream is cut

  Scenario: A caller that vanishes ends a request that is not resumable
    Given a stand-in engine
    When the caller of a completion of 5000 tokens that is not resumable vanishes
    Then the engine runs nothing

  Scenario: A request moves to another engine with its KV
    Given a stand-in engine
    When a streamed completion of 200 tokens is exported and imported by another one
    Then its text is the expected text
    And the run file shows 1 dispatch and 1 prefill

  Scenario Outline: An order with an old fencing token is <result>
    Given a stand-in engine with honours_fencing = <honours>
    When orders with the tokens 2.1, 1.9 and 2.1 again are given
    Then the second is <result> and the third is done once

    Examples:
      | honours | result  |
      | true    | refused |
      | false   | obeyed  |

  Scenario: An answer is dropped after it has run
    Given a stand-in engine
    And its fault drops_answer is true
    When a plain completion of 30 tokens is asked for
    Then no answer came and it may have run
    And the run file shows 1 dispatch and 1 prefill

  Scenario Outline: A <fault> is felt and ends when it is switched off
    Given a stand-in engine
    And its fault <fault> is <value>
    When a plain completion of 30 tokens is asked for and time passes
    Then no answer came and it may have run
    And its report comes unless <fault> is is_hung
    And after the fault is off a completion is answered

    Examples:
      | fault       | value |
      | is_hung     | true  |
      | slow_factor | 1000  |

  Scenario: A plain service counts every run
    Given a stand-in service
    When 3 calls with 2 keys are made
    Then the run file shows the runs of each key

  Scenario: A marked body ends the process of the program
    Given the program of the stand-in as a service with a crash marker
    When a call with the marker is made
    Then it may have run, its run is on file and the process has exited

  Scenario: SIGTERM lets a request finish, and it is reported
    Given the program of the stand-in as an engine
    When it gets SIGTERM while a completion runs whose stream then breaks
    Then it reports that it leaves, the answer is whole and it exits with 0

  Scenario: All faults of the settings are told at once
    Given settings of the stand-in with 4 faults
    When the program is started
    Then it exits with 2 and names section, key, value and reason of each
