#ifndef PRIMROSELEAD_STOP_SIGNAL_H
#define PRIMROSELEAD_STOP_SIGNAL_H

/** Whether the process was sent a signal that tells it to stop, SIGTERM or
 * SIGINT, and blocks, and has not received it yet. */
int stop_signal_is_pending(void);

#endif
