#ifndef STANDIN_AWAY_H
#define STANDIN_AWAY_H

/*
 * The listening socket of an upstream that can end and come back: while it is
 * away it refuses connections, and all that were open have ended.
 */

/** Listens on an address. "away_ms" is the time that it is away; 0 to end the
 * process. Returns 0 or -1. */
int away_listen(const char *address, int away_ms);

/** Accepts a connection. Returns its socket, or -1. */
int away_accept(void);

/** Forgets a connection that is about to be closed. */
void away_remove(int fd);

/** Ends the process, or all connections until the time is over. */
void away_end(void);

#endif
