"""Fair shares of the capacity of a service for client accounts.

- :mod:`.max_min`: weighted max-min fair shares.
- :mod:`.account_shares`: work of each account, and its share.
- :mod:`.slot_times`: measured slot times of prompt tokens and output tokens.
- :mod:`.share_queue`: queue that grants and refuses by these shares.
- :mod:`.reservations`: retry times that reserve capacity for refused slot requests.
"""
