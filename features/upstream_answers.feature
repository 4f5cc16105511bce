Feature: An answer is believed only once it is known whose it is
  An upstream may send an answer late, at the place of the next one. Its request id says
  whose it is; what it says of another request says nothing about this one.

  Scenario Outline: The log says whose answer an upstream sent: <answer>
    Given a gateway before upstream "u1" that will "<answer>"
    When a caller sends "/transfer/x" with the body "pay 5" and its lines are logged
    Then an unsuccessful answer of <owner> with status <status> is logged, marked <marked>

    Examples: Answers
      | answer             | owner   | status | marked |
      | reject             | request | 503    | True   |
      | reject_of_another  | other   | 503    | True   |
      | reject_of_nobody   | nobody  | 503    | True   |
      | fail               | request | 500    | False  |
