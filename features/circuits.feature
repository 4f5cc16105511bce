Feature: An upstream that was silent for a moment is used again when it goes on
  Two sends that are given up for silence take an upstream out until it is probed. Tokens
  that it produced later show that it works.

  Background:
    Given a cell with 1 engines of 8 slots
    And 6 streams that run there, with 10 tokens each

  Scenario: Tokens that were produced after the timeouts take an upstream back
    When 2 of the streams time out
    Then upstream "e0" is "down"
    When 300 ms pass in the cell
    And a stream reports 12 tokens, the last of them 50 ms old
    Then upstream "e0" is "ramping"
    When 3 new slot requests arrive
    Then none of them is granted
    When each stream reports 14 tokens, the last of them 0 ms old
    And each stream reports 16 tokens, the last of them 0 ms old
    And 10 ms pass in the cell
    And 3 new slot requests arrive
    Then 3 of them are granted

  Scenario Outline: What an upstream produced before the timeouts does not take it back
    When 2 of the streams time out
    And <wait> ms pass in the cell
    And a stream reports <tokens> tokens, the last of them <age> ms old
    Then upstream "e0" is "down"

    Examples: Reports that were on the way, of a stuck upstream, and without an age
      | wait | tokens | age |
      | 50   | 12     | 0   |
      | 300  | 12     | 250 |
      | 300  | 12     | 900 |
      | 300  | 10     | 900 |
      | 300  | 12     | -1  |

  Scenario: Later timeouts outweigh earlier tokens
    When 2 of the streams time out
    And 300 ms pass in the cell
    And 2 more of the streams time out
    And a stream reports 12 tokens, the last of them 50 ms old
    Then upstream "e0" is "down"

  Scenario: An upstream that is dead or stuck stays out until its probe
    When 2 of the streams time out
    And 900 ms pass in the cell
    And each stream reports 10 tokens, the last of them 1900 ms old
    And 1 new slot request arrives
    Then none of them is granted
    When each stream has ended
    And 200 ms pass in the cell
    And 1 new slot request arrives
    Then 1 of them are granted
    And upstream "e0" is "probing"

  Scenario: Tokens of earlier streams do not outweigh a failed probe
    They don't show that the upstream answers new requests.

    When the circuit of an upstream opens by timeouts, and its probe times out
    And an earlier stream gets tokens 300 ms later
    Then the circuit is open

  Scenario Outline: An entry host's reports take an upstream back that goes on
    Streams that still hold slots leave none for a probe of the upstream.
    Given an entry host without a leader before an upstream of 8 slots
    And 6 streams that get tokens there each 40 ms
    When the upstream is silent for 800 ms, and 2 streams time out after 600 ms
    And <what> for 900 ms
    Then the upstream is <used>

    Examples: An upstream that goes on, and one that is stuck
      | what                     | used     |
      | the streams get tokens   | used     |
      | the streams get no token | not used |
