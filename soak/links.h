#ifndef SOAK_LINKS_H
#define SOAK_LINKS_H

/** Environment of a VM whose connections are moved: "FIRST,COUNT,SHIFT", in
 * port numbers. */
#define SOAK_LINKS_VARIABLE "SOAK_LINKS"

#endif
