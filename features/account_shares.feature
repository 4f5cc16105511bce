Feature: Client accounts get fair shares of all capacity
  The capacity is shared by weight and max-min: accounts that ask for less than their
  share get what they ask for, and the others share the rest. Work is counted in prompt
  and output tokens, as in the time for which a slot is held. All scenarios run the real
  scheduler in virtual time, without a network.

  Scenario Outline: An account that sends 8 times its usual load harms only itself
    Given 16 accounts at 1.3 times the capacity, of which one sends 8 times its usual, with seed <seed>
    When the accounts send for 10 s
    Then the least served other account gets at least 0.9 of what it asks for by its goal
    And no other account is refused anything
    And the slots are in use for at least 0.97 of the time
    And the scheduler's dump shows its refusals and a share of at least 0.0625

    Examples: Seeds
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: A small account beside a large one of the same weight gets what it asks for
    Given an account that asks for 0.45 of the capacity beside one that asks for 1.2
    When the accounts send for 10 s
    Then the least served other account gets at least 0.9 of what it asks for by its goal
    And the slots are in use for at least 0.97 of the time

  Scenario: Accounts that all ask for more get capacity by weight
    Given two accounts of the weights 3 and 1 that each ask for 1.5 times the capacity
    When the accounts send for 10 s
    Then the first gets 3 times the work of the second, within 0.1

  Scenario: Accounts of the same weight get the same work, however long their answers are
    Given two accounts of the same weight with long prompts and with long answers
    When the accounts send for 10 s
    Then the first gets 1 times the work of the second, within 0.1

  Scenario: An account that comes and goes takes no more than its share, and gets it
    Given 5 accounts that ask for 0.155 of the capacity each, and one that comes and goes
    When it comes for 3 s and goes for 1 s, 4 times
    Then the least served other account gets at least 0.9 of what it asks for by its goal
    And it gets at least 0.2 of the capacity while it is there

  Scenario: A new leader counts the slots in use that entry hosts report
    Given an account that holds all slots while it and another account wait
    When another scheduler becomes the leader
    Then 9 of the next 10 grants go to the account that holds no slots
    And the dump shows the work of the slots in use by account

  Scenario: Refusals hit the account with the most work in progress and waiting first
    Given an account that holds all slots beside one with 10 more waiting requests
    When both send at the same rate until 10 requests are refused
    Then all refusals are of the account that holds the slots

  Scenario: No slot is free while an account above its share waits
    Given an account that asks for 1.3 times the capacity beside one that asks for little
    When the accounts send for 10 s
    Then the slots are in use for at least 0.97 of the time
    And no upstream is left without requests while one waits

  Scenario: No request of a higher tier waits for an account below its share
    Given an account of tier 1 that asks for 1.3 times the capacity, and others of tier 2
    When the accounts send for 5 s
    Then no slot is granted to tier 2 while tier 1 waits

  Scenario Outline: Retries at the announced time are served before new work
    Given 16 accounts at <load> times the capacity, with seed <seed>
    When the accounts send for 10 s
    Then at least 0.9 of at least 50 retries at the announced time are admitted
    And no new request is granted while one of them waits
    And the answers by their goal take at least 0.9 of the capacity

    Examples: Loads
      | load | seed |
      | 1.1  | 1    |
      | 1.3  | 1    |
      | 1.3  | 2    |

  Scenario: The schedulers of all services share by the settings of the deployment
    Given the schedulers of a plain service with one slot, which one account holds
    When it sends 3 more requests, another account sends one, and the slot is released
    Then the slot goes to the other account
