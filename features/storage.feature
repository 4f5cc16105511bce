Feature: The data folder preserves all synced records
  Records have a checksum. A torn last write is truncated; any other damage prevents
  the start. After a failed write or sync no more writes are accepted.

  For a long run of the random scenario with new seeds:

      PERIDOTFRONT_FUZZ_STEPS=100000 .venv/bin/behave features/storage.feature

  Scenario: An empty folder gets a persistent identity
    Given an empty data folder
    When the storage is opened and closed and opened
    Then the incarnation is the same
    And the state is empty

  Scenario: Two folders have different identities
    Given two data folders
    Then their incarnations differ

  Scenario: Two processes can't open the same folder
    Given a data folder with 5 entries
    When the storage is opened a second time
    Then it raises DataFolderLocked

  Scenario: Synced changes are loaded after a restart
    Given a data folder with 5 entries
    When entries 4 to 5 are replaced by entries of term 2
    And the storage is opened again
    Then the entries are 1 to 5 with the terms 1, 1, 1, 2, 2
    And the hard state is the last one written

  Scenario: All changes of one call are synced once
    Given a data folder with 5 entries
    When 100 changes are applied in one call
    Then there was one sync

  Scenario: A write that is torn at any byte preserves the synced records
    Given a data folder with 5 entries
    When 3 more entries are written and the file is cut at any byte of them
    Then the first 5 entries are loaded and at most 3 more, without a gap
    And the folder accepts and preserves new entries

  Scenario: A write whose pages reached the disk out of order counts as torn
    Given a data folder with 5 entries
    When 3 more entries are written and the first of them is zeroed
    And the storage is opened again
    Then the entries are 1 to 5 with the terms 1, 1, 1, 1, 1

  Scenario: A changed bit in any batch before the last one prevents the start
    Given a data folder with 5 entries
    When 2 more entries are written and any earlier byte is changed
    Then it raises StorageDamaged with the file and the offset

  Scenario Outline: A missing or damaged file prevents the start
    Given a data folder with several segments and a snapshot
    When the file "<file>" is <fault>
    And the storage is opened again
    Then it raises StorageDamaged that names the <file>

    Examples:
      | file        | fault   |
      | snapshot    | damaged |
      | incarnation | damaged |
      | incarnation | removed |
      | old segment | damaged |

  Scenario Outline: A removed file prevents the start
    Given a data folder with several segments and a snapshot
    When the file "<file>" is removed
    And the storage is opened again
    Then it raises StorageDamaged

    Examples:
      | file          |
      | snapshot      |
      | old segment   |
      | every segment |

  Scenario: A missing segment is detected even if no entry is missing
    Given a data folder with segments that contain votes only
    When the file "old segment" is removed
    And the storage is opened again
    Then it raises StorageDamaged

  Scenario Outline: After a failed write nothing more is accepted
    Given a data folder with 5 entries
    When the disk <fault>
    Then writing raises StorageFailed
    And writing raises StorageFailed even when the disk works again
    And the entries are 1 to 5 after a restart

    Examples:
      | fault         |
      | is full       |
      | fails to sync |

  Scenario: A restart after a failed sync writes and syncs the log again
    Given a data folder with 5 entries
    When the disk fails to sync
    Then writing raises StorageFailed
    And the restart wrote the complete log again before its use

  Scenario: A short write is completed
    Given a data folder whose disk writes 7 bytes at a time
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

  Scenario Outline: A snapshot that is interrupted at any step is complete or absent
    Given a data folder with 5 entries
    When the disk fails at step <step> of installing a snapshot of entry 3
    And the storage is opened again
    Then the log from entry 4 on is loaded, after a snapshot or the entries before

    Examples:
      | step |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |

  Scenario: A storage that failed while it began a segment closes only its own files
    Given a data folder with 5 entries that was opened while another file was open
    When the disk fails at step 7 of installing a snapshot of entry 3
    Then the storage is closed without an error, and closes no file of others

  Scenario: A snapshot of another term than the log's entry replaces the whole log
    Given a data folder with 5 entries
    When a snapshot of entry 3 of term 9 is installed and only its file reached the disk
    Then the snapshot is that of entry 3, followed by no entries

  Scenario: The size of the folder is bounded
    Given a data folder that starts a new segment at 2,000 bytes
    When 2000 entries are written with a snapshot after every 100
    Then the folder never held more than 40,000 bytes
    And the storage is opened again
    And the snapshot is that of entry 2000, followed by no entries

  Scenario: Random changes, torn writes and restarts keep all that was synced
    When random changes, torn writes and restarts are applied to a data folder
    Then every restart loads all synced changes and at most a prefix of the others
