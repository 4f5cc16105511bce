Feature: Entries of another writer in the list of upstreams cost no other entry
  An entry may hold any text or number. Guards against entries that end the links
  between hosts, have proper requests refused, or make the whole list unreadable.

  Scenario: A message that can't be encoded ends no link between hosts
    Given a link between two hosts
    When an upstream whose data centre is half a character is sent over the link
    And a join request is sent over the link
    Then only the join request arrives
    And the log names the message that was left out

  Scenario: An error that a link does not expect does not end it
    Given a link between two hosts
    When the link meets an error that it does not expect
    And a join request is sent over the link
    Then only the join request arrives

  Scenario Outline: An entry that no message can hold names no upstream: <entry>
    Given a list of upstreams with 2 sound entries and one with <entry>
    When the list is read
    Then it names the 2 valid upstreams

    Examples: Texts and numbers
      | entry                           |
      | half a character as zone        |
      | half a character as service     |
      | half a character as version     |
      | half a character as id          |
      | a control character as version  |
      | a zone of 10000 characters      |
      | slots beyond 63 bits            |
      | more slots than ports           |

  Scenario Outline: An entry that no request can be sent to names no upstream: <entry>
    Given a list of upstreams with 2 sound entries and one with <entry>
    When the list is read
    Then it names the 2 valid upstreams

    Examples: Ids
      | entry                              |
      | an id that is no UTF-8             |
      | an id beyond ASCII                 |
      | an id with a line break            |
      | an id that ends with a space       |

    Examples: Addresses
      | entry                              |
      | an address with a number too large |
      | an address without a port          |
      | an address with the port 0         |
      | an address with a port too large   |
      | an address of 5000 digits          |
      | the address of any host            |
      | the address of all hosts           |

  Scenario Outline: A request that can't be written for one upstream goes to another: <path>
    Given a gateway before upstream "Σ" that will "answer"
    And upstream "u2" that will "answer"
    When a caller sends "<path>" with the body ""
    Then the caller gets 200 with the body "whole answer of u2"

    Examples: Kinds of request
      | path        |
      | /transfer/x |
      | /look-up/x  |

  Scenario: A request that can be written for no upstream is not blamed on its caller
    Given a gateway before upstream "Σ" that will "answer"
    When a caller sends "/transfer/x" with the body ""
    Then the caller gets 503
    And the caller may retry within 6000 ms

  Scenario: An account whose name is beyond Latin-1 is served
    Given a gateway with the account "Σχολείο" before an upstream that answers
    When a caller sends "/transfer/x" with the body ""
    Then the caller gets 200 with the body "whole answer of u1"
    And upstream "u1" got the account "Σχολείο" and the instance "u1"

  Scenario Outline: An entry that is no JSON leaves the others of its page readable: <entry>
    Given a list of upstreams with the bytes of <entry> between 2 sound entries
    When the list is read
    Then it names the 2 valid upstreams

    Examples: Bytes
      | entry                                  |
      | a control character                    |
      | a half character in an unknown field   |
      | no UTF-8 in an unknown field           |
      | a number of 5000 digits                |
      | 5000 nested arrays                     |
      | 5000 nested objects with lists         |
      | no value                               |
      | a word                                 |
      | two values                             |
      | a string without an end                |
      | a bracket without an end               |
      | two brackets without a begin           |
      | a text of 2 MB                         |

  Scenario: A page with an entry that is no JSON leads on to the next page
    Given a list of upstreams in 2 pages, the first with an entry that is no JSON
    When the list is read
    Then it names the 2 valid upstreams

  Scenario Outline: A page whose end is missing is not taken for the whole list: <end>
    Given a list of upstreams with 2 sound entries that ends <end>
    When the list is read
    Then the reading fails

    Examples: Ends
      | end                  |
      | within an entry      |
      | before its token     |

  Scenario: Any entry between sound ones leaves them in use and names nothing unusable
    When lists with random entries and bytes between 2 sound ones are read
    Then each named both sound upstreams
    And each upstream that they named can be sent in a message
    And a request can be written for each upstream that they named

  # Guards against entries that replace the sound ones of the same names, so that no
  # request of their service is served.
  Scenario Outline: An entry under the name of a sound one does not replace it: <entry>, read by <reader>
    Given a routed group of 3 control hosts and 2 entry hosts
    And upstreams "m1" are listed
    And version 7 is acknowledged
    And the list is read by <reader>
    When the list has <entry> for "m1" too
    And 1000 ms pass in the routed group
    And "e1" requests a slot for "a"
    Then "a" gets a slot at the address of "m1"

    Examples: Entries of another writer as "same name"
      | entry                       | reader          |
      | a service without manifest  | the leader      |
      | a service without manifest  | each entry host |
      | another configured service  | the leader      |
      | another address             | the leader      |

  Scenario: An entry under the name of another keeps an upstream that leaves as leaving
    Given a routed group of 3 control hosts and 2 entry hosts
    And upstreams "m1" are listed
    And version 7 is acknowledged
    When "m1" is listed as leaving
    And the list has a ready entry for "m1" too
    And 1000 ms pass in the routed group
    And "e1" requests a slot for "a"
    And 100 ms pass in the routed group
    Then "a" is refused as not run for "no_upstream"

  Scenario: Entries with one name are all read from the list
    Given a list of upstreams with two entries of one name
    When the list is read
    Then it has both entries
