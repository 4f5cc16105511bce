Feature: Operators order rollouts over HTTP
  The endpoint of a control host runs on a real HTTP server before a replica whose
  replicated table is the real one.

  Background:
    Given the rollout endpoint of a leader

  Scenario Outline: An order that is invalid is refused and changes nothing: <fault>
    Guards against orders that are recorded although no rollout can follow them.
    When the rollout order <body> is sent
    Then the rollout answer is 400
    And no rollout was ordered

    Examples:
      | fault                      | body                                                     |
      | no body                    |                                                          |
      | no JSON                    | order                                                    |
      | not UTF-8                  | "\xff"                                                   |
      | cut JSON                   | {"Service":"ledger","To":"v2"                            |
      | an array                   | [{"Service":"ledger","To":"v2","PeriodS":12}]            |
      | a text                     | "ledger"                                                 |
      | null                       | null                                                     |
      | no service                 | {"To":"v2","PeriodS":12}                                 |
      | no version                 | {"Service":"ledger","PeriodS":12}                        |
      | no period                  | {"Service":"ledger","To":"v2"}                           |
      | keys of another case       | {"service":"ledger","to":"v2","period_s":12}             |
      | a number as service        | {"Service":7,"To":"v2","PeriodS":12}                     |
      | a number as version        | {"Service":"ledger","To":2,"PeriodS":12}                 |
      | null as version            | {"Service":"ledger","To":null,"PeriodS":12}              |
      | a text as period           | {"Service":"ledger","To":"v2","PeriodS":"12"}            |
      | a boolean as period        | {"Service":"ledger","To":"v2","PeriodS":true}            |
      | an empty service           | {"Service":"","To":"v2","PeriodS":12}                    |
      | an empty version           | {"Service":"ledger","To":"","PeriodS":12}                |
      | a blank version            | {"Service":"ledger","To":"  ","PeriodS":12}              |
      | a version with a line feed | {"Service":"ledger","To":"v\n2","PeriodS":12}           |
      | a version with a NUL       | {"Service":"ledger","To":"v\u00002","PeriodS":12}       |
      | half a surrogate pair      | {"Service":"ledger","To":"v\ud800","PeriodS":12}        |
      | period 0                   | {"Service":"ledger","To":"v2","PeriodS":0}               |
      | a negative period          | {"Service":"ledger","To":"v2","PeriodS":-3}              |
      | a period over a day        | {"Service":"ledger","To":"v2","PeriodS":86401}           |
      | a huge period              | {"Service":"ledger","To":"v2","PeriodS":1e400}           |
      | NaN as period              | {"Service":"ledger","To":"v2","PeriodS":NaN}             |
      | an infinite period         | {"Service":"ledger","To":"v2","PeriodS":Infinity}        |

  Scenario: A version of 257 characters is refused
    Guards against texts that don't fit into messages and logs.
    When a rollout to a version of 257 characters is ordered
    Then the rollout answer is 400
    And no rollout was ordered

  Scenario: A rollout of an unknown service is refused
    When the rollout order {"Service":"other","To":"v2","PeriodS":12} is sent
    Then the rollout answer is 404
    And no rollout was ordered

  Scenario: A valid order is acknowledged and its state can be read
    Guards against an endpoint whose answers lack the fields of the interface.
    When the rollout order {"Service":"ledger","To":"v2","PeriodS":12} is sent
    Then the rollout answer is 200 with {}
    When the rollout path "/peridotfront/rollouts/ledger" is read
    Then the rollout answer is 200 with {"State":"rolling","To":"v2"}

  Scenario Outline: The end of a rollout can be read: <state>
    Given the service "ledger" rolls to "v2"
    And the rollout of "ledger" has ended as "<state>"
    When the rollout path "/peridotfront/rollouts/ledger" is read
    Then the rollout answer is 200 with {"State":"<state>","To":"v2"}

    Examples:
      | state    |
      | complete |
      | reverted |

  Scenario Outline: A repeated order is acknowledged and starts nothing: <state>
    Guards against a second rollout after a lost acknowledgement.
    Given the service "ledger" rolls to "v2"
    And the rollout of "ledger" has ended as "<state>"
    When the rollout order {"Service":"ledger","To":"v2","PeriodS":12} is sent
    Then the rollout answer is 200 with {}
    And no rollout was ordered

    Examples:
      | state    |
      | rolling  |
      | complete |
      | reverted |

  Scenario Outline: An order during another rollout of the service conflicts: <fault>
    Given the service "ledger" rolls to "v2"
    When the rollout order <body> is sent
    Then the rollout answer is 409
    And no rollout was ordered

    Examples:
      | fault           | body                                       |
      | another version | {"Service":"ledger","To":"v3","PeriodS":12} |
      | another period  | {"Service":"ledger","To":"v2","PeriodS":13} |

  Scenario: A rollout of another service doesn't conflict
    Given the service "ledger" rolls to "v2"
    When the rollout order {"Service":"a b/c%","To":"v3","PeriodS":0.5} is sent
    Then the rollout answer is 200 with {}
    When the rollout path "/peridotfront/rollouts/a%20b%2Fc%25" is read
    Then the rollout answer is 200 with {"State":"rolling","To":"v3"}

  Scenario Outline: A request that is none of the interface's is refused: <method> <path>
    Guards against requests that are taken for orders.
    When "<method>" is sent to the rollout path "<path>"
    Then the rollout answer is <status>
    And no rollout was ordered

    Examples:
      | method | path                            | status |
      | GET    | /peridotfront/rollouts          | 404    |
      | GET    | /peridotfront/rollouts/         | 404    |
      | GET    | /peridotfront/rollouts/ledger   | 404    |
      | GET    | /peridotfront/rollouts/other    | 404    |
      | GET    | /peridotfront/rollouts/%ff      | 404    |
      | PUT    | /peridotfront/rollouts/ledger   | 405    |
      | DELETE | /peridotfront/rollouts/ledger   | 405    |
      | POST   | /peridotfront/rollouts/ledger   | 404    |
      | PUT    | /peridotfront/rollouts          | 404    |
      | DELETE | /peridotfront/rollouts          | 404    |
      | POST   | /peridotfront/rolloutsx         | 404    |

  Scenario Outline: A host whose rollouts are off answers 404: <method> <path>
    Given the rollout endpoint of a leader without rollouts
    When "<method>" is sent to the rollout path "<path>"
    Then the rollout answer is 404
    And no rollout was ordered

    Examples:
      | method | path                          |
      | POST   | /peridotfront/rollouts        |
      | GET    | /peridotfront/rollouts/ledger |

  Scenario Outline: A follower redirects to the leader: <method> <path>
    Given the rollout endpoint of a follower
    When "<method>" is sent to the rollout path "<path>"
    Then the rollout answer is 307 to "<path>" at the leader
    And no rollout was ordered

    Examples:
      | method | path                                |
      | POST   | /peridotfront/rollouts              |
      | GET    | /peridotfront/rollouts/ledger       |
      | GET    | /peridotfront/rollouts/a%20b%2Fc%25 |

  Scenario Outline: A host that knows no leader asks for another try: <method> <path>
    Given the rollout endpoint of a host without a leader
    When "<method>" is sent to the rollout path "<path>"
    Then the rollout answer is 503 with a time for another try
    And no rollout was ordered

    Examples:
      | method | path                          |
      | POST   | /peridotfront/rollouts        |
      | GET    | /peridotfront/rollouts/ledger |

  Scenario: An order before the first configuration asks for another try
    Guards against operators that can't tell when to repeat the order.
    Given the rollout endpoint of a leader without a configuration
    When "POST" is sent to the rollout path "/peridotfront/rollouts"
    Then the rollout answer is 503 with a time for another try
    And no rollout was ordered
