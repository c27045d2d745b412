#ifndef CONFIG_BOX_H
#define CONFIG_BOX_H

#include <primroselead/steer.h>

/** Takes one more reference to a built service. */
struct steer_service *config_service_ref(struct steer_service *s);

/** Gives a reference back. */
void config_service_release(struct steer_service *s);

#endif
