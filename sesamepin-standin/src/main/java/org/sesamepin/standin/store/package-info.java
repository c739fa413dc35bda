/** Stand-in for the platform's key-value service, the JSON gateway of etcd v3. */
@NullMarked
package org.sesamepin.standin.store;

import org.jspecify.annotations.NullMarked;
