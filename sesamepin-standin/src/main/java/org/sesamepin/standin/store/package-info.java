/** Stand-in of the platform's key-value service, etcd v3 over JSON. */
@NullMarked
package org.sesamepin.standin.store;

import org.jspecify.annotations.NullMarked;
