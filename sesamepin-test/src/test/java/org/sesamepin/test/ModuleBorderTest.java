package org.sesamepin.test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import org.junit.jupiter.api.Test;

/** Tests that no module depends on a module or a library that its design excludes. */
class ModuleBorderTest {
    private static final JavaClasses CLASSES =
            new ClassFileImporter().importPackages("org.sesamepin");

    @Test
    void coreDoesNoInputOrOutput() {
        noClasses()
                .that()
                .resideInAPackage("org.sesamepin.core..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.vertx..", "java.net.http..", "java.nio.file..")
                .check(CLASSES);
    }

    @Test
    void coreDoesNotReadTheWallClock() {
        noClasses()
                .that()
                .resideInAPackage("org.sesamepin.core..")
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .check(CLASSES);
    }

    @Test
    void nodeUsesPlatformsAndTargetsOnlyThroughInterfaces() {
        noClasses()
                .that()
                .resideInAPackage("org.sesamepin.node..")
                .and()
                .resideOutsideOfPackage("org.sesamepin.node.platform..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.sesamepin.node.platform..")
                .check(CLASSES);
    }

    @Test
    void nodeAndStandInsDoNotDependOnEachOther() {
        noClasses()
                .that()
                .resideInAPackage("org.sesamepin.node..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.sesamepin.standin..")
                .check(CLASSES);
        noClasses()
                .that()
                .resideInAPackage("org.sesamepin.standin..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.sesamepin.node..")
                .check(CLASSES);
    }
}
