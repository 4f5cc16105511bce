Feature: The data folder keeps what was synced
  Records carry a checksum. A torn last write is cut off; any other damage refuses
  the start. After a failed write or sync nothing more is accepted.

  For a long run of the random scenario with new seeds:

      PERIDOTFRONT_FUZZ_STEPS=100000 .venv/bin/behave features/storage.feature

  Scenario: A blank folder gets an identity that lasts
    Given an empty data folder
    When the storage is opened and closed and opened
    Then the incarnation is the same
    And the state is blank

  Scenario: Two folders have unlike identities
    Given two data folders
    Then their incarnations differ

  Scenario: Two processes can't hold one folder
    Given a data folder with 5 entries
    When the storage is opened a second time
    Then it raises DataFolderLocked

  Scenario: What was synced is there after a restart
    Given a data folder with 5 entries
    When entries 4 to 5 are replaced by entries of term 2
    And the storage is opened again
    Then the entries are 1 to 5 with the terms 1, 1, 1, 2, 2
    And the hard state is the last one written

  Scenario: A turn is synced once
    Given a data folder with 5 entries
    When 100 changes are run in one turn
    Then there was one sync

  Scenario: A write that is torn at any byte leaves the synced part
    Given a data folder with 5 entries
    When 3 more entries are written and the file is cut at any byte of them
    Then the first 5 entries are there and at most 3 more, without a gap
    And the folder takes new entries and keeps them

  Scenario: A write whose pages reached the disk out of order is torn
    Given a data folder with 5 entries
    When 3 more entries are written and the first of them is zeroed
    And the storage is opened again
    Then the entries are 1 to 5 with the terms 1, 1, 1, 1, 1

  Scenario: A changed bit in any synced record but the last batch refuses the start
    Given a data folder with 5 entries
    When 2 more entries are written and any earlier byte is changed
    Then it raises StorageDamaged with the file and the offset

  Scenario Outline: A missing or damaged file refuses the start
    Given a data folder with several segments and a snapshot
    When the file "<file>" is <fault>
    And the storage is opened again
    Then it raises StorageDamaged that names the <file>

    Examples:
      | file         | fault   |
      | snapshot     | damaged |
      | incarnation  | damaged |
      | incarnation  | removed |
      | old segment  | damaged |

  Scenario Outline: A removed file refuses the start
    Given a data folder with several segments and a snapshot
    When the file "<file>" is removed
    And the storage is opened again
    Then it raises StorageDamaged

    Examples:
      | file          |
      | snapshot      |
      | old segment   |
      | every segment |

  Scenario: A missing segment is noticed even if no entry is missing
    Given a data folder in which one segment holds nothing but votes
    When the file "old segment" is removed
    And the storage is opened again
    Then it raises StorageDamaged

  Scenario Outline: After a failed write nothing more is accepted
    Given a data folder with 5 entries
    When the disk <fault>
    Then writing raises StorageFailed
    And writing raises StorageFailed even when the disk is well again
    And the entries are 1 to 5 after a restart

    Examples:
      | fault          |
      | is full        |
      | fails to sync  |

  Scenario: What a restart reads after a failed sync is made to last
    Given a data folder with 5 entries
    When the disk fails to sync
    Then writing raises StorageFailed
    And the restart wrote the whole log anew before it was used

  Scenario: A short write is completed
    Given a data folder whose disk takes 7 bytes at a time
    When 5 entries are written
    And the storage is opened again
    Then the entries are 1 to 5 with the terms 1, 1, 1, 1, 1

  Scenario: A snapshot replaces the log before it
    Given a data folder with 5 entries
    When a snapshot of entry 3 is installed
    And the storage is opened again
    Then the snapshot is that of entry 3, followed by entries 4 to 5
    And one segment and one snapshot file are left

  Scenario: The names of new files are synced in order
    Given a data folder with 5 entries
    When a snapshot of entry 3 is installed
    Then the name of the snapshot was synced before that of the segment after it

  Scenario Outline: A snapshot that is cut short at any step is whole or absent
    Given a data folder with 5 entries
    When the disk fails at step <step> of installing a snapshot of entry 3
    And the storage is opened again
    Then the log from entry 4 on is there, after a snapshot or the entries before

    Examples:
      | step |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |

  Scenario: A snapshot of another term than the log's entry replaces the whole log
    Given a data folder with 5 entries
    When a snapshot of entry 3 of term 9 is installed and only its file reached the disk
    Then the snapshot is that of entry 3, followed by no entries

  Scenario: The folder stays bounded
    Given a data folder that rolls its segments at 2,000 bytes
    When 2000 entries are written with a snapshot after every 100
    Then the folder never held more than 40,000 bytes
    And the storage is opened again
    And the snapshot is that of entry 2000, followed by no entries

  Scenario: Random changes, torn writes and restarts keep all that was synced
    When random changes, torn writes and restarts meet a data folder
    Then every restart finds all that was synced, and a part of what was not
