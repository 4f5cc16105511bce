Feature: A part of a prompt that crashes upstreams reaches no more of them
  Requests with that part come at any host, and no two are alike. Sound requests share
  their account, their path and their other parts, and go on.

  Scenario Outline: A crashing part of a prompt is refused by all hosts
    Given prompts at 3 control hosts, 6 entry hosts and 8 upstreams
    And the part "bad" crashes upstreams after <events> events of an answer
    And requests with the parts "<guilty>" come every 300 ms, sound ones every 60 ms
    When 30000 ms pass under that load
    Then upstreams got at most 3 crashing requests later than 3000 ms after the fifth crash
    And sound requests began from 6000 ms after the fifth crash on
    And no sound request was ever refused as "poison"

    Examples: Break after the head, or after events
      | events | guilty                   |
      | 0      | base,bad,*,*             |
      | 1      | base,bad,*,*             |
      | 3      | base,bad,*,*             |
      | 0      | bad,base,*               |
      | 1      | base,class,*,bad,*       |
      | 0      | base,class,bad,*         |

  Scenario: A crashing part of a prompt is known after a change of leader
    Given prompts at 3 control hosts, 6 entry hosts and 8 upstreams
    And the part "bad" crashes upstreams after 0 events of an answer
    And requests with the parts "base,bad,*,*" come every 300 ms, sound ones every 60 ms
    When the load goes on until crash 2
    And the leader is killed under that load, and starts again after 2000 ms
    And 30000 ms pass under that load
    Then upstreams got at most 3 crashing requests later than 3000 ms after the fifth crash
    And sound requests began from 6000 ms after the fifth crash on

  Scenario: A crashing part of a prompt is known after all hosts lost power
    Given prompts at 3 control hosts, 6 entry hosts and 8 upstreams
    And the part "bad" crashes upstreams after 1 events of an answer
    And requests with the parts "base,bad,*,*" come every 300 ms, sound ones every 60 ms
    When the load goes on until crash 5
    And 5000 ms pass under that load
    And all hosts lose power under that load, and start again after 1000 ms
    And 30000 ms pass under that load
    Then upstreams got at most 3 crashing requests later than 3000 ms after the fifth crash
    And sound requests began from 12000 ms after the fifth crash on

  Scenario: A crashing part of a prompt is known to an entry host that starts again
    Given prompts at 3 control hosts, 6 entry hosts and 8 upstreams
    And the part "bad" crashes upstreams after 0 events of an answer
    And requests with the parts "base,bad,*,*" come every 300 ms, sound ones every 60 ms
    When the load goes on until crash 5
    And 4000 ms pass under that load
    And the entry hosts "e1,e2" are killed under that load, and start again after 500 ms
    And 20000 ms pass under that load
    Then upstreams got at most 3 crashing requests later than 3000 ms after the fifth crash

  Scenario: A crashing part of a prompt is refused in a data centre that is cut off later
    Given prompts at 3 control hosts, 6 entry hosts and 8 upstreams
    And the part "bad" crashes upstreams after 0 events of an answer
    And requests with the parts "base,bad,*,*" come every 300 ms, sound ones every 60 ms
    When the load goes on until crash 5
    And 4000 ms pass under that load
    And the entry hosts "e3,e6" are cut off for 15000 ms under that load
    And 10000 ms pass under that load
    Then upstreams got at most 3 crashing requests from any host later than 3000 ms after the fifth crash

  Scenario: What a data centre that was cut off saw of a crashing part is not lost
    Given prompts at 3 control hosts, 6 entry hosts and 8 upstreams
    And the part "bad" crashes upstreams after 0 events of an answer
    And requests with the parts "base,bad,*,*" come every 300 ms, sound ones every 60 ms
    When the entry hosts "e3,e6" are cut off for 8000 ms and get all crashing requests
    And 20000 ms pass under that load
    Then upstreams got at most 3 crashing requests later than 3000 ms after the fifth crash
    And sound requests began from 12000 ms after the fifth crash on

  Scenario: Two crashing parts are both refused
    Given prompts at 3 control hosts, 6 entry hosts and 8 upstreams
    And the part "bad" crashes upstreams after 0 events of an answer
    And the part "worse" crashes upstreams after 1 events of an answer
    And requests with the parts "base,bad,*,*" come every 500 ms, sound ones every 60 ms
    And requests with the parts "base,class,worse,*" come every 500 ms
    When 40000 ms pass under that load
    Then upstreams got at most 3 crashing requests in the last 15000 ms
    And no sound request was ever refused as "poison"

  Scenario: A crashing part is found among answers that end with their connection
    Given prompts at 3 control hosts, 6 entry hosts and 8 upstreams
    And answers have neither a length nor chunks
    And the part "bad" crashes upstreams after 2 events of an answer
    And requests with the parts "base,bad,*,*" come every 300 ms, sound ones every 60 ms
    When 30000 ms pass under that load
    Then upstreams got at most 3 crashing requests later than 3000 ms after the fifth crash
    And sound requests began from 6000 ms after the fifth crash on

  Scenario: A sound request that often ran beside crashes is not refused
    When the same sound request runs beside 3 crashes
    And another crash has only the crashing request
    Then it is granted a slot
    And a request with the crashing part is refused as poison

  Scenario: A plain request that crashes upstreams is known after all hosts lost power
    Given prompts at 3 control hosts, 6 entry hosts and 8 upstreams
    And the request "bad" crashes upstreams and comes every 300 ms, sound ones every 60 ms
    When the load goes on until crash 3
    And 4000 ms pass under that load
    And all hosts lose power under that load, and start again after 1000 ms
    And 20000 ms pass under that load
    Then upstreams got at most 3 crashing requests later than 3000 ms after the fifth crash
    And no sound request was ever refused as "poison"

  Scenario: A part that no longer crashes upstreams is set free by a test
    Given prompts at 3 control hosts, 6 entry hosts and 8 upstreams
    And the part "bad" crashes upstreams after 0 events of an answer
    And requests with the parts "base,bad,*,*" come every 300 ms, sound ones every 60 ms
    When the load goes on until crash 3
    And 2000 ms pass under that load
    And the part "bad" crashes upstreams no more
    And 35000 ms pass under that load
    Then requests with the part "bad" began in the last 2000 ms

  Scenario: A crash history is the same after a snapshot, and knows a crash once
    When a history gets crashes, repeated reports of them, and a cleared part
    Then it has 3 crashes, and its verdict names the only part of all
    And a history restored from its snapshot has the same verdict
    And a request without all parts of a verdict is not refused

  Scenario: New verdicts on several parts wait for requests that are being answered
    Given two parts that were convicted just now
    Then a request with both is admitted while one with both is being answered
    And it is refused when none is being answered

  Scenario Outline: Crashes of another cause accuse no part of a prompt
    Given prompts at 3 control hosts, 6 entry hosts and 8 upstreams
    And requests with the parts "base,rare,*" come every 300 ms, sound ones every 60 ms
    When <count> upstreams crash <way> by themselves under that load
    And 15000 ms pass under that load
    Then no sound request was ever refused as "poison"

    Examples: Ways to crash
      | count | way            |
      | 8     | at once        |
      | 16    | every 200 ms   |
      | 40    | every 1000 ms  |
      | 6     | at once        |

  Scenario Outline: Programs of 6 entry hosts send no crashing part of a prompt
    Given programs of 3 control hosts, 6 entry hosts and 6 upstreams
    When a part of their prompts crashes upstreams after <events> events for 16 s
    Then upstreams of the programs got at most 3 crashing requests later than 3000 ms after the fifth crash
    And sound requests at the programs were answered

    Examples: Break after the head, or after events
      | events |
      | 0      |
      | 2      |
